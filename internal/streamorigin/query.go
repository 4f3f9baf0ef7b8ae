package streamorigin

import (
	"context"
	"fmt"
	"time"

	"github.com/godwitbend/godwitbend/internal/rpc"
)

// methodQuery is the RPC method that returns the origin of a stream.
const methodQuery = "/fleet/StreamOrigin"

// Datagram carries records to the hosts that keep them. It is the part of the datagrams between
// gateway hosts that control hosts understand too, so that one encoding serves both.
type Datagram struct {
	Records []Record `cbor:"5,keyasint,omitempty"`
}

// Query asks a host for the origin of a stream.
type Query struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// CallID is the id of the call that began the stream. If it is empty, any stream of the
	// fingerprint is meant.
	CallID string `cbor:"2,keyasint,omitempty"`
	// More are further queries in the same call. A host of an earlier build ignores them.
	More []Query `cbor:"3,keyasint,omitempty"`
}

// Reply is what one host knows of the origin of a stream.
type Reply struct {
	Origin Origin `cbor:"1,keyasint"`
	Known  bool   `cbor:"2,keyasint,omitempty"`
	// Ambiguous reports that the host has records of different origins. Known is false then.
	Ambiguous bool `cbor:"3,keyasint,omitempty"`
	// More are the replies to Query.More.
	More []Reply `cbor:"4,keyasint,omitempty"`
	// Restored reports that Origin is only known from what an earlier process of the host received. Known
	// is false then unless the query names the call.
	Restored bool `cbor:"5,keyasint,omitempty"`
}

// String implements fmt.Stringer, for logs.
func (r *Reply) String() string {
	switch {
	case r.Ambiguous:
		return "ambiguous"
	case r.Restored:
		return fmt.Sprintf("%s at %s, restored", r.Origin.Service, r.Origin.Version)
	case r.Known:
		return fmt.Sprintf("%s at %s", r.Origin.Service, r.Origin.Version)
	}
	return "unknown"
}

// Register makes srv answer queries from the table.
func Register(srv *rpc.Server, t *Table) {
	rpc.Handle(srv, methodQuery, func(_ context.Context, q *Query) (*Reply, error) {
		now := time.Now()
		reply := t.Get(q.Fingerprint, q.CallID, now)
		for _, further := range q.More[:min(len(q.More), maxQueriesPerCall)] {
			reply.More = append(reply.More, t.Get(further.Fingerprint, further.CallID, now))
		}
		return &reply, nil
	})
}
