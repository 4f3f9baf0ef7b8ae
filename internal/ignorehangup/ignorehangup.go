// Package ignorehangup makes a program ignore SIGHUP from early in its start on, as the default action would end a host that
// is told to reload its settings while it starts. Go initialises packages that import little before others, so that it must
// import nothing but os/signal and syscall. A program imports it for its effect.
package ignorehangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
