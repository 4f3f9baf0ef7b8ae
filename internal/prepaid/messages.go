// Package prepaid keeps organisations within their prepaid budgets while hosts admit
// requests on their own. The control group grants tokens to hosts, hosts report their
// use, and tokens that a terminated host cannot have spent are recovered.
//
// It has two parts: Book is the control group's ledger, a deterministic aggregate;
// Allowance holds the tokens of one host. For each organisation
//
//	charged by ended sessions + granted to open sessions - returned <= prepaid
//
// holds after each grant, and a host spends no more than its grants. While it is
// connected to the control group, and for some seconds after, a host further limits
// itself to an envelope around its last acknowledged report, and has other hosts witness
// any spending beyond the burst. With these the Book bounds what a host that terminated
// shortly after that report can have spent.
//
// Hosts that lack tokens while the control group is unreachable get them from each
// other. The sender reports the transfer; until then the Book attributes the tokens to
// the sender, so that they are never counted as unheld.
package prepaid

import "time"

// ReserveOpenDelay is the time without an acknowledged report after which a host opens
// its reserve: it spends beyond its burst once a majority of its witnesses has recorded
// its ceilings. Reports are acknowledged four times a second.
const ReserveOpenDelay = 700 * time.Millisecond

// FullReserveDelay is the time without an acknowledged report after which a host with an
// open reserve is no longer bound by the rate of its envelope. It covers the restart of
// a whole fleet, after which no witness records are left.
const FullReserveDelay = 3400 * time.Millisecond

// UnwitnessedReserveDelay is the time without an acknowledged report after which a host
// may spend all that it holds without witnesses. It covers the restart of a single host.
const UnwitnessedReserveDelay = 6 * time.Second

// MaxWitnesses is the largest number of witnesses of a host.
const MaxWitnesses = 7

// majority returns the number of witnesses that must record the opening of a reserve.
func majority(witnesses int) int { return witnesses/2 + 1 }

// Use is a host's account of one organisation. Used, Returned, Transfers and Received are
// totals since the session began.
type Use struct {
	Organisation string `cbor:"1,keyasint"`
	// Used is the number of tokens charged.
	Used int64 `cbor:"2,keyasint,omitempty"`
	// Reserved is the maximum cost of the requests in flight.
	Reserved int64 `cbor:"3,keyasint,omitempty"`
	// Returned is the number of tokens returned unused.
	Returned int64 `cbor:"4,keyasint,omitempty"`
	// Want is the number of free tokens that the host asks to hold, besides a part of the
	// surplus. It is negative if the host wants less than that part.
	Want int64 `cbor:"5,keyasint,omitempty"`
	// Burst, in tokens, bounds what the host commits after this report until its reserve
	// opens. Rate, in tokens per second, bounds what it commits from then until
	// FullReserveDelay.
	Burst int64 `cbor:"6,keyasint,omitempty"`
	Rate  int64 `cbor:"7,keyasint,omitempty"`
	// Transfers lists the transfers to other hosts.
	Transfers []Transfer `cbor:"8,keyasint,omitempty"`
	// Received is the number of tokens transferred from other hosts. Later transfers may be
	// spent beyond Burst.
	Received int64 `cbor:"9,keyasint,omitempty"`
}

// Transfer is the sum of tokens sent to another host since the sender's session began.
type Transfer struct {
	// To is the session of the receiver.
	To     uint64 `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint"`
}

// sentTotal returns the sum of the transfers.
func (u *Use) sentTotal() int64 {
	total := int64(0)
	for _, t := range u.Transfers {
		total += t.Tokens
	}
	return total
}

// Holder is a host with free tokens.
type Holder struct {
	Session uint64 `cbor:"1,keyasint"`
	Free    int64  `cbor:"2,keyasint"`
}

// Report is a host's account of its session.
type Report struct {
	Session uint64 `cbor:"1,keyasint"`
	// Seq increases with each new report; a repeated report keeps it.
	Seq uint64 `cbor:"2,keyasint"`
	// BootTime is the host's boot-time clock when the report was made, in ns. It includes
	// time in suspend and continues across restarts of the process.
	BootTime int64 `cbor:"3,keyasint"`
	Uses     []Use `cbor:"4,keyasint,omitempty"`
	// WallTime is the host's wall clock when the report was made, in Unix ns.
	WallTime int64 `cbor:"5,keyasint,omitempty"`
	// Witnesses are the sessions of the hosts that must record the opening of this host's
	// reserve.
	Witnesses []uint64 `cbor:"6,keyasint,omitempty"`
	// Boot identifies the boot of the machine that BootTime belongs to; 0 if it is not known, or in
	// builds that do not state it.
	Boot uint64 `cbor:"7,keyasint,omitempty"`
	// Arrival is set by the leader when the report arrives.
	Arrival ClockReading `cbor:"8,keyasint,omitzero"`
	// AckAge is the time from the acknowledgement of the previous report until this one was made, in ns.
	AckAge int64 `cbor:"9,keyasint,omitempty"`
}

// ClockReading is a reading of the boot-time clock of a control host. Readings of different processes
// are not comparable.
type ClockReading struct {
	// Process identifies the process that read its clock; 0 means that there is no reading.
	Process uint64 `cbor:"1,keyasint"`
	// Time is the time since boot in ns.
	Time int64 `cbor:"2,keyasint"`
}

// Ceiling bounds what a session commits of one organisation's tokens while its reserve is
// open.
type Ceiling struct {
	Organisation string `cbor:"1,keyasint"`
	// Tokens is the total since the session began of tokens used, reserved and sent, less
	// those received from other hosts.
	Tokens int64 `cbor:"2,keyasint"`
}

// CeilingAnswer is a witness's answer on a terminated session: the ceilings recorded since
// the session's last report. The witness records no more after it. Organisations without
// a ceiling were kept within their burst.
type CeilingAnswer struct {
	Session  uint64    `cbor:"1,keyasint"`
	Witness  uint64    `cbor:"2,keyasint"`
	Ceilings []Ceiling `cbor:"3,keyasint,omitempty"`
}

// CeilingQuery asks a witness for the ceilings that it recorded for a terminated session.
type CeilingQuery struct {
	Session uint64 `cbor:"1,keyasint"`
	// Seq is the number of the session's last report.
	Seq uint64 `cbor:"2,keyasint"`
}

// Instant is one moment on the two clocks of a host, in ns.
type Instant struct {
	// Boot identifies the boot of the machine; 0 if it is not known.
	Boot uint64
	// BootTime is the time since the machine booted, time in suspend included.
	BootTime int64
	// WallTime is the Unix time of the wall clock, which may be stepped.
	WallTime int64
}

// Grant is the control group's reply for one organisation at one host.
type Grant struct {
	Organisation string `cbor:"1,keyasint"`
	// Granted is the total granted since the session began.
	Granted int64 `cbor:"2,keyasint,omitempty"`
	// Target is the number of free tokens that the host should keep; it returns the excess.
	Target int64 `cbor:"3,keyasint,omitempty"`
	// Balance is the number of tokens neither used nor reserved on any host.
	Balance int64 `cbor:"4,keyasint,omitempty"`
	// Hosts is the number of open sessions.
	Hosts int `cbor:"5,keyasint,omitempty"`
	// Credited is the part of Granted that came from other hosts.
	Credited int64 `cbor:"6,keyasint,omitempty"`
	// Holders are the other hosts with the most free tokens.
	Holders []Holder `cbor:"7,keyasint,omitempty"`
}

// Reply acknowledges a report.
type Reply struct {
	Seq uint64 `cbor:"1,keyasint"`
	// UnknownSession means that the session is not open; the host must open a new one.
	UnknownSession bool    `cbor:"2,keyasint,omitempty"`
	Grants         []Grant `cbor:"3,keyasint,omitempty"`
}

// SessionOpening opens a session of a host and ends the previous one.
type SessionOpening struct {
	Host string `cbor:"1,keyasint"`
	// Session is a random number.
	Session uint64 `cbor:"2,keyasint"`
	// BootTime and WallTime are the host's two clocks when the process started, in ns.
	BootTime int64 `cbor:"3,keyasint"`
	WallTime int64 `cbor:"4,keyasint"`
	// Age is the time from the start of the process until this was sent, in ns.
	Age int64 `cbor:"5,keyasint,omitempty"`
	// ArrivalTime is the wall clock of the control host when this arrived, in Unix ns.
	ArrivalTime int64 `cbor:"6,keyasint,omitempty"`
	// Boot identifies the boot of the machine that BootTime belongs to; 0 if it is not known, or in
	// builds that do not state it.
	Boot uint64 `cbor:"7,keyasint,omitempty"`
	// Arrival is set by the leader when this arrives.
	Arrival ClockReading `cbor:"8,keyasint,omitzero"`
}
