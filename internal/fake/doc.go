// Package fake provides stand-ins (test doubles) for the external systems of a
// gateway: a model engine, plain services and a weight store. They implement the
// protocol of package announce, support fault injection, and record the ground
// truth of what they ran. Tests use them in process, also inside a testing/synctest
// bubble; cmd/godwitbend-standin runs them as processes.
package fake
