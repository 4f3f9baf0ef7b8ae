package presence

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/hostaddr"
)

const (
	// maxNameBytes bounds each name in a report.
	maxNameBytes = 256
	// maxSlots bounds the requests that one upstream runs at a time.
	maxSlots = 1 << 20
	// maxSequence is the largest number up to which all whole numbers are exact in JSON.
	maxSequence = 1 << 53
	// maxStartAhead is the time by which the clock of an upstream may be ahead of this host's. A later
	// start would outrank those of all sound processes with the same id or address.
	maxStartAhead = 24 * time.Hour
)

// Validate returns an error if a report names no process that can be used. Of a departure only the id
// and the start are checked.
func (u *Upstream) Validate(now time.Time) error {
	if !isName(u.ID) {
		return eris.New("the id is no name")
	}
	if u.StartedMS < 0 || u.StartedMS > now.Add(maxStartAhead).UnixMilli() {
		return eris.Errorf("the start of the process, %d, is no time up to now", u.StartedMS)
	}
	switch {
	case u.State == Terminated:
		return nil
	case u.State != Ready && u.State != Draining:
		return eris.Errorf("the state %d is unknown", u.State)
	case !isName(u.Service):
		return eris.New("the service is no name")
	case u.Zone != "" && !isName(u.Zone):
		return eris.New("the zone is no name")
	case u.Version != "" && !isName(u.Version):
		return eris.New("the version is no name")
	case u.Slots < 0 || u.Slots > maxSlots:
		return eris.Errorf("the number of slots, %d, is not between 0 and %d", u.Slots, maxSlots)
	case u.Sequence < 0 || u.Sequence > maxSequence:
		return eris.Errorf("the sequence %d is not between 0 and %d", u.Sequence, maxSequence)
	}
	return hostaddr.Check(u.Address)
}

// isName reports whether text has 1 to maxNameBytes bytes and only printable characters.
func isName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && utf8.ValidString(text) &&
		!strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}
