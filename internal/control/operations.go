package control

import (
	"crypto/sha256"
	"time"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Retention of operation results, in milliseconds of state time.
const (
	configOperationRetentionMS = int64(24 * time.Hour / time.Millisecond)
	ledgerOperationRetentionMS = int64(90 * 24 * time.Hour / time.Millisecond)
)

// Limits on the operations whose results are retained.
const (
	maxConfigOperations = 4096
	maxLedgerOperations = 200_000
)

// overflowPolicy determines how an operation beyond the limit is handled.
type overflowPolicy int

const (
	// evictOldest removes the oldest result. It suits operations that may safely be
	// executed again if they are resent late.
	evictOldest overflowPolicy = iota
	// refuseNew refuses the operation. It suits operations that must not be executed
	// again, such as top-ups.
	refuseNew
)

// operation is an executed operation and its result.
type operation struct {
	ID string `cbor:"1,keyasint"`
	// ContentHash is the SHA-256 hash of the encoded request.
	ContentHash []byte             `cbor:"2,keyasint"`
	AtMS        int64              `cbor:"3,keyasint"`
	Result      *controlapi.Result `cbor:"4,keyasint"`
}

// operations retains the results of operations, so that a resend gets the same result.
type operations struct {
	limit       int
	retentionMS int64
	overflow    overflowPolicy
	byID        map[string]*operation
	// oldestFirst holds the operations in the order of their execution.
	oldestFirst []*operation
}

func newOperations(limit int, retentionMS int64, policy overflowPolicy) *operations {
	return &operations{limit: limit, retentionMS: retentionMS, overflow: policy, byID: make(map[string]*operation)}
}

// executeOnce executes an operation and retains its result, refusals included. A
// resend gets the retained result. Another request with the same id is refused as a
// Conflict.
func (o *operations) executeOnce(id string, content any, nowMS int64, execute func() *controlapi.Result) *controlapi.Result {
	hash := hashContent(content)
	earlier, err := o.lookup(id, hash)
	if err != nil {
		return refuse(err)
	}
	if earlier != nil {
		return copyResult(earlier)
	}
	if len(o.oldestFirst) >= o.limit && o.overflow == refuseNew {
		return refuse(errkind.New(errkind.Overloaded, "the limit of %d retained operations is reached", o.limit))
	}
	result := execute()
	o.add(&operation{ID: id, ContentHash: hash, AtMS: nowMS, Result: result})
	return copyResult(result)
}

// hashContent returns the SHA-256 hash of the encoded request.
func hashContent(request any) []byte {
	data, err := codec.Marshal(request)
	must(err)
	sum := sha256.Sum256(data)
	return sum[:]
}

// lookup returns the result of an earlier operation with this id, or nil if there is
// none. It returns a Conflict if that operation had another content.
func (o *operations) lookup(id string, hash []byte) (*controlapi.Result, *errkind.Error) {
	if id == "" || len(id) > maxIDBytes {
		return nil, errkind.New(errkind.InvalidRequest, "operation id has %d bytes, 1 to %d are allowed", len(id), maxIDBytes)
	}
	op, ok := o.byID[id]
	if !ok {
		return nil, nil
	}
	if string(op.ContentHash) != string(hash) {
		return nil, errkind.New(errkind.Conflict, "operation id %s was used for another request", id)
	}
	return op.Result, nil
}

// copyResult returns a copy whose Configure and Budget replies the caller may modify
// without changing the retained result.
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

// add retains an operation and removes the oldest one beyond the limit.
func (o *operations) add(op *operation) {
	if len(o.oldestFirst) >= o.limit {
		o.dropOldest()
	}
	o.byID[op.ID] = op
	o.oldestFirst = append(o.oldestFirst, op)
}

// expire removes the operations whose retention has ended.
func (o *operations) expire(nowMS int64) {
	for len(o.oldestFirst) > 0 && o.oldestFirst[0].AtMS+o.retentionMS <= nowMS {
		o.dropOldest()
	}
}

func (o *operations) dropOldest() {
	delete(o.byID, o.oldestFirst[0].ID)
	o.oldestFirst[0] = nil
	o.oldestFirst = o.oldestFirst[1:]
}
