package control

import (
	"crypto/sha256"
	"time"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Retention of the results of operations, in milliseconds of state time.
const (
	configurationRetentionMS = int64(24 * time.Hour / time.Millisecond)
	topUpRetentionMS         = int64(90 * 24 * time.Hour / time.Millisecond)
)

// Bounds on the operations whose results are kept. A configuration change
// beyond it displaces the oldest; its own comparison of revisions keeps a late
// resend harmless. A top-up beyond it is refused, because a forgotten one
// would be paid in again.
const (
	maxConfigurations = 4096
	maxTopUps         = 200_000
)

// operation is an executed operation with its result.
type operation struct {
	ID string `cbor:"1,keyasint"`
	// Content is the SHA-256 sum of the encoded request.
	Content []byte             `cbor:"2,keyasint"`
	AtMS    int64              `cbor:"3,keyasint"`
	Result  *controlapi.Result `cbor:"4,keyasint"`
}

// operations keeps the results of operations for a resend.
type operations struct {
	most        int
	retentionMS int64
	byID        map[string]*operation
	// order holds the operations, oldest first.
	order []*operation
}

func newOperations(most int, retentionMS int64) *operations {
	return &operations{most: most, retentionMS: retentionMS, byID: make(map[string]*operation)}
}

// contentOf returns the sum that tells requests apart.
func contentOf(request any) []byte {
	data, err := codec.Marshal(request)
	must(err)
	sum := sha256.Sum256(data)
	return sum[:]
}

// find returns the result of an earlier operation with this id, or nil. Another
// content under the same id is a Conflict.
func (o *operations) find(id string, content []byte) (*controlapi.Result, *errkind.Error) {
	if id == "" || len(id) > maxIDBytes {
		return nil, errkind.New(errkind.InvalidRequest, "operation id has %d bytes, 1 to %d are allowed", len(id), maxIDBytes)
	}
	op, ok := o.byID[id]
	if !ok {
		return nil, nil
	}
	if string(op.Content) != string(content) {
		return nil, errkind.New(errkind.Conflict, "operation id %s was used for another request", id)
	}
	return copyResult(op.Result), nil
}

// copyResult returns a copy whose reply may be filled in further without a
// change of what is kept.
func copyResult(r *controlapi.Result) *controlapi.Result {
	c := *r
	if r.Configure != nil {
		reply := *r.Configure
		c.Configure = &reply
	}
	if r.Budget != nil {
		status := *r.Budget
		c.Budget = &status
	}
	return &c
}

func (o *operations) full() bool { return len(o.order) >= o.most }

func (o *operations) add(op *operation) {
	if o.full() {
		o.dropOldest()
	}
	o.byID[op.ID] = op
	o.order = append(o.order, op)
}

func (o *operations) expire(nowMS int64) {
	for len(o.order) > 0 && o.order[0].AtMS+o.retentionMS <= nowMS {
		o.dropOldest()
	}
}

func (o *operations) dropOldest() {
	delete(o.byID, o.order[0].ID)
	o.order[0] = nil
	o.order = o.order[1:]
}
