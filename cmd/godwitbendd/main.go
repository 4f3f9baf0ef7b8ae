// Command godwitbendd is the daemon of a godwitbend host.
package main

func main() {}
