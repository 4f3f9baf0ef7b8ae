package controlnode

import "github.com/godwitbend/godwitbend/internal/presence"

// SetFeatures makes a host that is not started play a build that understands the log entries of the given features.
func (n *Node) SetFeatures(features int) { n.understands = features }

// ClockAgreement reports whether the ledger of this host's replica uses wall clocks only where they agree.
func (n *Node) ClockAgreement() bool {
	m := n.machine.Load()
	return m != nil && m.ClockAgreement()
}

// BootClocks reports whether the ledger of this host's replica uses boot-time clocks only.
func (n *Node) BootClocks() bool {
	m := n.machine.Load()
	return m != nil && m.BootClocks()
}

// KnownState returns the state of an upstream that the host knows; 0 if it knows none.
func (n *Node) KnownState(id string) presence.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.table.Record(id); r != nil {
		return r.State
	}
	return 0
}
