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
	paymentRetentionMS       = int64(90 * 24 * time.Hour / time.Millisecond)
)

// Bounds on the operations whose results are kept.
const (
	maxConfigurations = 4096
	maxPayments       = 200_000
)

// overflow tells what becomes of an operation beyond the bound.
type overflow int

const (
	// displaceOldest suits operations that are harmless when they are sent again late.
	displaceOldest overflow = iota
	// refuseNew suits operations that must not be executed again, such as top-ups.
	refuseNew
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
	overflow    overflow
	byID        map[string]*operation
	// order holds the operations, oldest first.
	order []*operation
}

func newOperations(most int, retentionMS int64, o overflow) *operations {
	return &operations{most: most, retentionMS: retentionMS, overflow: o, byID: make(map[string]*operation)}
}

// once executes an operation and keeps its result, refusals included, or
// returns the result that it had before. Another request under the same id is
// a Conflict.
func (o *operations) once(id string, content any, nowMS int64, execute func() *controlapi.Result) *controlapi.Result {
	sum := contentOf(content)
	first, err := o.find(id, sum)
	if err != nil {
		return refuse(err)
	}
	if first != nil {
		return copyResult(first)
	}
	if len(o.order) >= o.most && o.overflow == refuseNew {
		return refuse(errkind.New(errkind.Overloaded, "%d operations are remembered, no more fit", o.most))
	}
	result := execute()
	o.add(&operation{ID: id, Content: sum, AtMS: nowMS, Result: result})
	return copyResult(result)
}

// contentOf returns the sum that tells requests apart.
func contentOf(request any) []byte {
	data, err := codec.Marshal(request)
	must(err)
	sum := sha256.Sum256(data)
	return sum[:]
}

// find returns the result of an earlier operation with this id, or nil.
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
	return op.Result, nil
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

func (o *operations) add(op *operation) {
	if len(o.order) >= o.most {
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
