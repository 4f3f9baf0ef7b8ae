package controlnode

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/wal"
)

const (
	// contactsFile holds the addresses of the control hosts that this one has known.
	contactsFile = "contacts.json"
	// maxContacts bounds the control hosts that are remembered.
	maxContacts = 32
	// contactInterval is the interval at which control hosts are called that are neither members nor answer.
	contactInterval = 5 * time.Second
	// contactRetention is the time after its last sign of life for which a control host is called. A host that
	// knows no leader remembers all.
	contactRetention = 15 * time.Minute
	// contactSaveInterval is the least time between two writes of contactsFile.
	contactSaveInterval = time.Second
)

// Contact is a control host and the time since it was last heard from.
type Contact struct {
	Address string        `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
}

// contacts are the control hosts that this one has known, by address, with the time of the last sign of life of
// each. They outlive the replica and its membership, so that a host that the group has removed, or whose replica
// can't start, finds the group when all of its seeds have been replaced, and is found by it.
type contacts struct {
	heardAt map[string]time.Time
	// changed is set when the addresses have changed since they were last taken to be saved.
	changed bool
}

// hear records a sign of life. An earlier one than the last is ignored.
func (c *contacts) hear(address string, at time.Time) {
	last, known := c.heardAt[address]
	if address == "" || known && !at.After(last) {
		return
	}
	c.heardAt[address] = at
	if known {
		return
	}
	c.changed = true
	if len(c.heardAt) > maxContacts {
		c.forget(c.byRecency()[maxContacts])
	}
}

// learn records an address that was not known.
func (c *contacts) learn(address string, at time.Time) {
	if _, known := c.heardAt[address]; !known {
		c.hear(address, at)
	}
}

func (c *contacts) forget(address string) {
	if _, known := c.heardAt[address]; known {
		delete(c.heardAt, address)
		c.changed = true
	}
}

// expire forgets the contacts that were last heard from before a time.
func (c *contacts) expire(before time.Time) {
	for address, at := range c.heardAt {
		if at.Before(before) {
			c.forget(address)
		}
	}
}

// byRecency returns the addresses, the one that was heard from last first.
func (c *contacts) byRecency() []string {
	list := make([]string, 0, len(c.heardAt))
	for address := range c.heardAt {
		list = append(list, address)
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(c.heardAt[b].Compare(c.heardAt[a]), cmp.Compare(a, b))
	})
	return list
}

// heardSince returns the addresses heard from at or after a time.
func (c *contacts) heardSince(since time.Time) []string {
	list := c.byRecency()
	end := slices.IndexFunc(list, func(address string) bool { return c.heardAt[address].Before(since) })
	if end < 0 {
		return list
	}
	return list[:end]
}

// list returns the contacts other than the members, which all members know.
func (c *contacts) list(members []string, now time.Time) []Contact {
	var list []Contact
	for _, address := range c.byRecency() {
		if !slices.Contains(members, address) {
			list = append(list, Contact{Address: address, Age: now.Sub(c.heardAt[address])})
		}
	}
	return list
}

// hear records that a control host has called or answered.
func (n *Node) hear(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address != n.options.Address {
		n.contacts.hear(address, time.Now())
	}
}

// hearOf records what another control host knows. Only direct signs of life renew a contact, and one that knows no
// leader may name hosts that the others have forgotten. The caller holds n.mu.
func (n *Node) hearOf(list []Contact, now time.Time) {
	for _, c := range list[:min(len(list), maxContacts)] {
		if c.Age >= 0 && c.Age < contactRetention/2 && c.Address != n.options.Address {
			n.contacts.learn(c.Address, now.Add(-c.Age))
		}
	}
}

// forget drops a contact whose address another service or group has.
func (n *Node) forget(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacts.forget(address)
	delete(n.crashPositions, address)
}

// liveContacts returns the other control hosts that this one has heard from within controlHostTimeout.
func (n *Node) liveContacts() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.contacts.heardSince(time.Now().Add(-controlHostTimeout))
}

// knownControlHosts returns the addresses of all other control hosts that this one has known: first those that live,
// then the members, contacts and seeds in random order.
func (n *Node) knownControlHosts() []string {
	live := n.liveContacts()
	rest := n.otherControlHosts()
	n.mu.Lock()
	rest = append(rest, n.contacts.byRecency()...)
	n.mu.Unlock()
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	known := make([]string, 0, len(live)+len(rest))
	for _, address := range append(live, rest...) {
		if address != n.options.Address && !slices.Contains(known, address) {
			known = append(known, address)
		}
	}
	return known
}

// keepContacts calls the contacts that don't answer, and saves the addresses when they have changed.
func (n *Node) keepContacts(ctx context.Context) {
	n.goRun(func() { timing.Every(ctx, contactInterval, func() { n.callSilentContacts(ctx) }) })
	timing.Every(ctx, contactSaveInterval, func() {
		if err := n.saveContacts(); err != nil {
			klog.V(1).InfoS("control hosts not saved", "error", err.Error())
		}
	})
}

// callSilentContacts calls the contacts that the exchange leaves out, as they don't answer and aren't members. One of
// them may be a host that doesn't know that the group has removed it and replaced all members that it knows.
func (n *Node) callSilentContacts(ctx context.Context) {
	called := n.exchangePartners()
	now := time.Now()
	s, running := n.Status()
	n.mu.Lock()
	if running && s.Leader != replication.None {
		n.contacts.expire(now.Add(-contactRetention))
	}
	silent := slices.DeleteFunc(n.contacts.byRecency(), func(address string) bool { return slices.Contains(called, address) })
	direct := newDirectUpstreams(n.directRecords(now), now)
	n.recordGeneration(direct)
	n.mu.Unlock()
	for _, address := range silent {
		n.goRun(func() { n.exchangeWith(ctx, address, direct) })
	}
}

// savedContacts is the content of contactsFile.
type savedContacts struct {
	// Group is the id of the control group.
	Group     string   `json:"group,omitempty"`
	Addresses []string `json:"addresses"`
}

// loadContacts reads the addresses that an earlier process saved. They are a help only: a file that can't be read, or
// that is of another group than the identity, is ignored.
func (n *Node) loadContacts() {
	data, err := n.options.FS.ReadFile(filepath.Join(n.options.Directory, contactsFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var saved savedContacts
	if err == nil {
		err = json.Unmarshal(data, &saved)
	}
	if err != nil {
		klog.ErrorS(err, "saved control hosts not read")
		return
	}
	if id, err := loadIdentity(n.options.FS, n.options.Directory); err == nil && id != nil && id.Group != saved.Group {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, address := range saved.Addresses[:min(len(saved.Addresses), maxContacts)] {
		if address != n.options.Address {
			n.contacts.learn(address, now)
		}
	}
	n.contacts.changed = false
}

// saveContacts saves the addresses if they have changed. After an error they are saved the next time.
func (n *Node) saveContacts() error {
	n.mu.Lock()
	changed, addresses := n.contacts.changed, n.contacts.byRecency()
	n.contacts.changed = false
	n.mu.Unlock()
	if !changed {
		return nil
	}
	err := n.writeContacts(addresses)
	if err != nil {
		n.mu.Lock()
		n.contacts.changed = true
		n.mu.Unlock()
	}
	return err
}

func (n *Node) writeContacts(addresses []string) error {
	data, err := json.Marshal(savedContacts{Group: n.groupID(), Addresses: addresses})
	if err != nil {
		return eris.Wrap(err, "encode the control hosts")
	}
	n.contactsWrites <- struct{}{}
	defer func() { <-n.contactsWrites }()
	return wal.WriteFileAtomic(n.options.FS, filepath.Join(n.options.Directory, contactsFile), data)
}
