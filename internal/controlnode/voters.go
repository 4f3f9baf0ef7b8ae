package controlnode

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
)

const (
	// replacementTimeout is the time without contact after which a voter yields to a new host, or
	// leaves a group with an even number of voters, which is no safer with it. It exceeds a restart.
	replacementTimeout = 3 * time.Second
	// promotionDelay is the time between the first catching up of a new replica and its vote. It
	// exceeds the election timeout, so that a voter that it replaces is known to be silent.
	promotionDelay = 1500 * time.Millisecond
	// removalTimeout is the time without contact after which a replica is removed in any case.
	// Hosts may freeze or lose their network for up to 9 s and return with their disks intact.
	removalTimeout = 20 * time.Second
	// minVoters is the number of voters below which none is removed automatically.
	minVoters = 3
)

// memberState is what the leader knows of a replica.
type memberState struct {
	replication.Peer
	// silentFor is the time without contact; 0 if there was contact within the election timeout.
	silentFor time.Duration
	// readyFor is the time since a learner caught up for the first time; 0 if it lags now.
	readyFor time.Duration
}

// memberTimes holds since when the leader knows what it knows of the replicas, by id.
type memberTimes struct{ lastActive, readySince map[uint64]time.Time }

func newMemberTimes() memberTimes {
	return memberTimes{lastActive: map[uint64]time.Time{}, readySince: map[uint64]time.Time{}}
}

// reset forgets all times, as another host leads.
func (t memberTimes) reset() {
	clear(t.lastActive)
	clear(t.readySince)
}

// states returns the state of each replica, by the status of the leader.
func (t memberTimes) states(s replica.Status, now time.Time) []memberState {
	members := make([]memberState, 0, len(s.Peers))
	for _, p := range s.Peers {
		if p.Active || p.ID == s.ID || t.lastActive[p.ID].IsZero() {
			t.lastActive[p.ID] = now
		}
		m := memberState{Peer: p.Peer, silentFor: now.Sub(t.lastActive[p.ID])}
		since, known := t.readySince[p.ID]
		caughtUp := p.Match >= s.Commit
		switch {
		case !p.Learner || !p.Active:
			delete(t.readySince, p.ID)
		case !known && caughtUp:
			t.readySince[p.ID] = now
		case known && caughtUp:
			m.readyFor = now.Sub(since)
		}
		members = append(members, m)
	}
	return members
}

// memberChange is a change of the membership.
type memberChange uint8

const (
	noChange memberChange = iota
	promote
	remove
)

// String implements fmt.Stringer.
func (c memberChange) String() string {
	switch c {
	case promote:
		return "promote"
	case remove:
		return "remove"
	}
	return "none"
}

// nextMemberChange returns the next change of the membership, and the replica that it concerns.
// A new replica takes the vote of one that is silent for good, so that a replacement does not
// add a voter that counts against the others; while it is unclear whether the silent one returns
// the new one waits.
func nextMemberChange(members []memberState) (memberChange, memberState) {
	var silentVoter, silentLearner, ready memberState
	voters, activeVoters := 0, 0
	for _, m := range members {
		switch {
		case m.Learner && m.silentFor > silentLearner.silentFor:
			silentLearner = m
		case m.Learner && m.readyFor >= promotionDelay:
			ready = m
		case m.Learner:
		case m.silentFor == 0:
			voters++
			activeVoters++
		default:
			voters++
			if m.silentFor > silentVoter.silentFor {
				silentVoter = m
			}
		}
	}
	removable := voters > minVoters && activeVoters >= voters/2+1 && activeVoters >= (voters-1)/2+1
	replaceable := removable && silentVoter.silentFor >= replacementTimeout
	switch {
	case ready.ID != 0 && replaceable:
		return remove, silentVoter
	case ready.ID != 0 && (silentVoter.ID == 0 || silentVoter.silentFor >= replacementTimeout):
		return promote, ready
	case replaceable && (voters%2 == 0 || silentVoter.silentFor >= removalTimeout):
		return remove, silentVoter
	case silentLearner.silentFor >= removalTimeout:
		return remove, silentLearner
	}
	return noChange, memberState{}
}
