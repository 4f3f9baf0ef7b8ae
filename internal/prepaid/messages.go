// Package prepaid keeps organisations within what they paid in while hosts
// admit requests on their own. The control group grants tokens to hosts, hosts
// report what they used, and what a dead host can't have spent is recovered.
//
// Two parts work together: Book is the control group's record, a deterministic
// aggregate; Allowance is what one host holds. For each organisation
//
//	charged by ended sessions + granted to open sessions - returned <= prepaid
//
// holds after each grant, and a host spends no more than its grants. While it is in
// touch with the control group, and for a while after, a host further limits
// itself to an envelope around its last acknowledged report, and lets other hosts
// witness when it goes beyond, so that the Book can bound what a host that died
// shortly after that report has spent.
//
// Hosts that lack tokens while the control group is away get them from each
// other. The giver reports the transfer; until then the Book counts the tokens
// as the giver's, so that they are never counted as nobody's.
package prepaid

import "time"

// OpenDelay is the time without an acknowledged report after which a host opens its
// reserve: it spends beyond its burst, once a majority of its witnesses has noted
// so. Reports are acknowledged four times a second.
const OpenDelay = 700 * time.Millisecond

// ReserveDelay is the time without an acknowledged report after which a host whose
// reserve is open may spend all that it holds; until then a rate bounds it. It
// covers the restart of a whole fleet, which leaves no witnesses.
const ReserveDelay = 3400 * time.Millisecond

// SoloDelay is the time after which a host that reaches no witnesses may do so too.
// It covers the restart of a single host.
const SoloDelay = 6 * time.Second

// MaxWitnesses is the number of hosts that a host takes as its witnesses.
const MaxWitnesses = 7

// majority is the number of witnesses that must note the opening of a reserve.
func majority(witnesses int) int { return witnesses/2 + 1 }

// Use is what a host says of one organisation. All but Want, Burst and Rate are
// totals since the session began.
type Use struct {
	Organisation string `cbor:"1,keyasint"`
	// Used is the number of tokens charged.
	Used int64 `cbor:"2,keyasint,omitempty"`
	// Reserved is the worst case of the requests in flight.
	Reserved int64 `cbor:"3,keyasint,omitempty"`
	// Returned is the number of tokens given back unused.
	Returned int64 `cbor:"4,keyasint,omitempty"`
	// Want is the number of free tokens that the host would like to hold.
	Want int64 `cbor:"5,keyasint,omitempty"`
	// Burst, in tokens, bounds what the host reserves after this report until its
	// reserve is open, and Rate, in tokens per second, what it reserves then until
	// ReserveDelay has passed.
	Burst int64 `cbor:"6,keyasint,omitempty"`
	Rate  int64 `cbor:"7,keyasint,omitempty"`
	// Given holds what went to other hosts.
	Given []Transfer `cbor:"8,keyasint,omitempty"`
	// Received is what came from other hosts. What comes later may be spent beyond Burst.
	Received int64 `cbor:"9,keyasint,omitempty"`
}

// Transfer is what a host has given to another one since its session began.
type Transfer struct {
	// To is the session of the receiver.
	To     uint64 `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint"`
}

// given is the sum of the transfers.
func (u *Use) given() int64 {
	total := int64(0)
	for _, t := range u.Given {
		total += t.Tokens
	}
	return total
}

// Holder is a host that holds free tokens.
type Holder struct {
	Session uint64 `cbor:"1,keyasint"`
	Free    int64  `cbor:"2,keyasint"`
}

// Report is a host's account of its session.
type Report struct {
	Session uint64 `cbor:"1,keyasint"`
	// Seq rises with each new report; one that is sent again keeps it.
	Seq uint64 `cbor:"2,keyasint"`
	// Clock is the host's boot-time clock when the report was made, in ns. That
	// clock counts suspended time and continues over restarts of the process.
	Clock int64 `cbor:"3,keyasint"`
	Uses  []Use `cbor:"4,keyasint,omitempty"`
	// Wall is the host's time of day when the report was made, in Unix ns.
	Wall int64 `cbor:"5,keyasint,omitempty"`
	// Witnesses are the sessions of the hosts that must note it before this host
	// opens its reserve.
	Witnesses []uint64 `cbor:"6,keyasint,omitempty"`
}

// Ceiling bounds what a session spends of one organisation's tokens while its reserve
// is open.
type Ceiling struct {
	Organisation string `cbor:"1,keyasint"`
	// Tokens is the total since the session began of what it uses, reserves and gives,
	// less what other hosts gave it.
	Tokens int64 `cbor:"2,keyasint"`
}

// Statement is a witness's word on a dead session: the ceilings that it has noted since
// the session's last report. It notes none after this. Organisations without a ceiling
// were spent from within their burst.
type Statement struct {
	Session  uint64    `cbor:"1,keyasint"`
	Witness  uint64    `cbor:"2,keyasint"`
	Ceilings []Ceiling `cbor:"3,keyasint,omitempty"`
}

// Question asks witnesses how far a dead session had opened its reserve.
type Question struct {
	Session uint64 `cbor:"1,keyasint"`
	// Seq is the session's last report.
	Seq uint64 `cbor:"2,keyasint"`
}

// Instant is a moment on the two clocks of a host, in ns.
type Instant struct {
	// Boot is the time since the machine's start, suspended time included.
	Boot int64
	// Wall is the time of day as Unix time; it may be stepped.
	Wall int64
}

// Grant is the control group's word on one organisation at one host.
type Grant struct {
	Organisation string `cbor:"1,keyasint"`
	// Granted is the total granted since the session began.
	Granted int64 `cbor:"2,keyasint,omitempty"`
	// Target is the number of free tokens that the host should keep; it returns more.
	Target int64 `cbor:"3,keyasint,omitempty"`
	// Balance is what is neither used nor reserved anywhere.
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
	// Unknown tells that the session is not open; the host must open a new one.
	Unknown bool    `cbor:"2,keyasint,omitempty"`
	Grants  []Grant `cbor:"3,keyasint,omitempty"`
}

// Opening begins a session of a host and ends the one before it.
type Opening struct {
	Host string `cbor:"1,keyasint"`
	// Session is a random number.
	Session uint64 `cbor:"2,keyasint"`
	// Clock and Wall are the host's boot-time clock and its time of day when the
	// process started, in ns.
	Clock int64 `cbor:"3,keyasint"`
	Wall  int64 `cbor:"4,keyasint"`
	// Age is the time since the process started, in ns, when this was sent.
	Age int64 `cbor:"5,keyasint,omitempty"`
	// Stamp is the time of day of the control host at which this arrived, in Unix ns.
	Stamp int64 `cbor:"6,keyasint,omitempty"`
}
