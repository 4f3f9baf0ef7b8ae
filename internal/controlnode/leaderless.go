package controlnode

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
)

const (
	// leaderlessLogDelay is the time without a leader after which it is logged. Elections end sooner.
	leaderlessLogDelay = 1500 * time.Millisecond
	// leaderlessLogInterval is the interval at which it is logged again while it lasts.
	leaderlessLogInterval = 5 * time.Second
	// joinLogDelay is the time for which a host that joins finds no leader before that is logged. The first start of a group takes
	// less: its founders wait for each other, and then elect one.
	joinLogDelay = 3 * time.Second
)

// leaderSearch is the search of a host for the leader of the group.
type leaderSearch struct {
	began time.Time
	// member reports that the host has a replica, which has missed its leader for a time.
	member bool
	// loggedAt is when a failure was last logged; zero if none was.
	loggedAt time.Time
}

// logs reports whether a failure of the search is to be logged now, and assumes that it is.
func (s *leaderSearch) logs(now time.Time) bool {
	if !s.member && now.Sub(s.began) < joinLogDelay || now.Sub(s.loggedAt) < leaderlessLogInterval {
		return false
	}
	s.loggedAt = now
	return true
}

// leaderlessLog logs for how long this host knows no leader of the group, and which voters are not heard from.
type leaderlessLog struct {
	// since is when the replica last had a leader, and loggedAt when the lack of one was last
	// logged; zero if it has not been.
	since, loggedAt time.Time
}

// update logs what has changed with the status s. silent returns the voters that this host has not heard from.
func (l *leaderlessLog) update(s replica.Status, now time.Time, silent func() []string) {
	if s.Leader != replication.None {
		if !l.loggedAt.IsZero() {
			klog.InfoS("control group has a leader again", "replica", s.ID, "leader", s.Leader, "term", s.Term,
				"leaderless_ms", now.Sub(l.since).Milliseconds())
		}
		*l = leaderlessLog{since: now}
		return
	}
	if now.Sub(l.since) < leaderlessLogDelay || now.Sub(l.loggedAt) < leaderlessLogInterval {
		return
	}
	l.loggedAt = now
	voters := voterAddresses(s)
	klog.InfoS("control group has no leader", "replica", s.ID, "role", s.Role.String(), "term", s.Term, "applied", s.Applied,
		"leaderless_ms", now.Sub(l.since).Milliseconds(), "voters", voters, "quorum", len(voters)/2+1, "silent", silent())
}

// voterAddresses returns the addresses of the voters in a replica's latest membership.
func voterAddresses(s replica.Status) []string {
	voters := []string{}
	for _, p := range s.Peers {
		if !p.Learner {
			voters = append(voters, p.Address)
		}
	}
	return voters
}

// silentVoters returns the addresses of the voters that this host has not heard from within controlHostTimeout.
func (n *Node) silentVoters(s replica.Status, now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	silent := []string{}
	for _, address := range voterAddresses(s) {
		known, heard := n.controlHosts[address]
		if address != n.options.Address && (!heard || now.Sub(known.heardAt) > controlHostTimeout) {
			silent = append(silent, address)
		}
	}
	return silent
}

// VoterCounts returns the number of voters in the latest membership that this host knows, and how many of them
// it has not heard from within the last seconds. Both are 0 if the host runs no replica.
func (n *Node) VoterCounts() (voters, silent int) {
	s, running := n.Status()
	if !running {
		return 0, 0
	}
	return len(voterAddresses(s)), len(n.silentVoters(s, time.Now()))
}
