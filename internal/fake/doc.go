// Package fake holds stand-ins for what surrounds the system: a model engine,
// plain services and a weight store. They speak the protocol of package
// announce, can be told to fail in stated ways, and keep the ground truth of
// what they ran. They serve in-process tests, also inside a testing/synctest
// bubble, and run as processes by cmd/godwitbend-standin.
package fake
