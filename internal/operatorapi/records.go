package operatorapi

import (
	"context"
	"net/http"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// allKinds selects records of every kind in a query.
const allKinds config.Kind = "*"

func (s *server) listRecords(kind config.Kind) func(*call) (*reply, error) {
	return func(r *call) (*reply, error) {
		found, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{Records: kind})
		if err != nil {
			return nil, err
		}
		return ok(RecordsReply{Revision: found.Revision, Records: orEmpty(found.Records)}), nil
	}
}

func (s *server) getRecord(kind config.Kind) func(*call) (*reply, error) {
	return func(r *call) (*reply, error) {
		name := r.PathValue("name")
		if err := checkName(name); err != nil {
			return nil, err
		}
		found, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{Records: kind, Name: name})
		if err != nil {
			return nil, err
		}
		if len(found.Records) == 0 {
			return nil, errkind.New(errkind.NotFound, "%s %q does not exist", kind, name)
		}
		return ok(found.Records[0]), nil
	}
}

func (s *server) putRecord(kind config.Kind) func(*call) (*reply, error) {
	return func(r *call) (*reply, error) {
		var put PutRequest
		if err := decode(r, &put); err != nil {
			return nil, err
		}
		write := Write{
			Record: config.Record{
				Kind: kind, Name: r.PathValue("name"), SchemaVersion: put.SchemaVersion, Spec: put.Spec,
			},
			IfRevision: put.IfRevision,
		}
		return s.configure(r, &ApplyRequest{OperationID: put.OperationID, Writes: []Write{write}})
	}
}

func (s *server) deleteRecord(kind config.Kind) func(*call) (*reply, error) {
	return func(r *call) (*reply, error) {
		ifRevision, err := queryUint(r, "if_revision")
		if err != nil {
			return nil, err
		}
		write := Write{
			Record:     config.Record{Kind: kind, Name: r.PathValue("name"), Deleted: true},
			IfRevision: ifRevision,
		}
		id := r.URL.Query().Get("operation_id")
		return s.configure(r, &ApplyRequest{OperationID: id, Writes: []Write{write}})
	}
}

func (s *server) apply(r *call) (*reply, error) {
	var request ApplyRequest
	if err := decode(r, &request); err != nil {
		return nil, err
	}
	return s.configure(r, &request)
}

// configure writes records and reports whether the change is in force.
func (s *server) configure(r *call, request *ApplyRequest) (*reply, error) {
	if err := checkApply(request); err != nil {
		return nil, err
	}
	command := &controlapi.ConfigureRequest{OperationID: request.OperationID, Operator: r.operator}
	for _, w := range request.Writes {
		write := controlapi.ConfigWrite{Record: w.Record, Force: w.IfRevision == nil}
		if w.IfRevision != nil {
			write.IfRevision = *w.IfRevision
		}
		command.Writes = append(command.Writes, write)
	}
	result, err := s.execute(r.Context(), &controlapi.Command{Configure: command})
	if err != nil {
		return nil, err
	}
	return changeReply(request.OperationID, result.Configure)
}

func changeReply(operationID string, result *controlapi.ConfigureReply) (*reply, error) {
	if result == nil {
		return nil, errkind.New(errkind.Internal, "the control group returned no result")
	}
	body := ChangeReply{
		State: StateAccepted, OperationID: operationID, Revision: result.Revision, Records: result.Records,
	}
	if result.Accepted {
		return ok(body), nil
	}
	body.State = StatePending
	return &reply{status: http.StatusAccepted, body: body}, nil
}

func checkApply(request *ApplyRequest) error {
	if err := checkOperationID(request.OperationID); err != nil {
		return err
	}
	if n := len(request.Writes); n == 0 || n > maxWrites {
		return errkind.New(errkind.InvalidRequest, "a change must have 1 to %d records, not %d", maxWrites, n)
	}
	for _, w := range request.Writes {
		if err := checkName(w.Record.Name); err != nil {
			return err
		}
		if _, known := plurals[w.Record.Kind]; !known {
			return errkind.New(errkind.InvalidRequest, "unknown record kind %q", w.Record.Kind)
		}
		if !w.Record.Deleted && len(w.Record.Spec) == 0 {
			return errkind.New(errkind.InvalidRequest, "%s %q has no spec", w.Record.Kind, w.Record.Name)
		}
	}
	return nil
}

// execute runs a change. If the commit is not confirmed, the error has the outcome
// unknown, and the operator may safely resend the change with its operation id.
func (s *server) execute(ctx context.Context, command *controlapi.Command) (*controlapi.Result, error) {
	result, err := s.Control.Execute(ctx, command)
	if err != nil {
		return nil, changeError(ctx, err)
	}
	if result.Err == nil {
		return result, nil
	}
	if result.Err.Kind == errkind.Conflict && result.Configure != nil {
		return nil, &conflictError{cause: result.Err, winner: result.Configure.Winner}
	}
	return nil, result.Err
}

// changeError returns the refusal of a change that failed with err. Its outcome is
// unknown if the control group was unavailable: the change may still be committed.
func changeError(ctx context.Context, err error) error {
	failed := errkind.From(classifyError(ctx, err))
	if failed.Kind == errkind.ControlUnavailable {
		return failed.WithOutcome(errkind.Unknown)
	}
	return failed
}

// topUp adds tokens to a budget. A top-up only extends what callers may spend, so it
// need not wait until hosts apply it.
func (s *server) topUp(r *call) (*reply, error) {
	var request TopUpRequest
	if err := decode(r, &request); err != nil {
		return nil, err
	}
	name := r.PathValue("name")
	if err := checkName(name); err != nil {
		return nil, err
	}
	if err := checkOperationID(request.OperationID); err != nil {
		return nil, err
	}
	if request.Tokens <= 0 {
		return nil, errkind.New(errkind.InvalidRequest, "tokens must be 1 or more, not %d", request.Tokens)
	}
	result, err := s.execute(r.Context(), &controlapi.Command{TopUp: &controlapi.TopUpRequest{
		OperationID: request.OperationID, Budget: name, Tokens: request.Tokens, Operator: r.operator,
	}})
	if err != nil {
		return nil, err
	}
	return ok(result.Budget), nil
}

// orEmpty replaces a nil slice by an empty one, which JSON encodes as [] instead of null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
