package operatorapi

import "github.com/godwitbend/godwitbend/internal/controlapi"

func (s *server) grants(r *call) (*reply, error) {
	found, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{Grants: true})
	if err != nil {
		return nil, err
	}
	return ok(GrantsReply{Grants: orEmpty(found.Grants)}), nil
}

// writeOff charges the outstanding grants of an ended session to their budgets.
func (s *server) writeOff(r *call) (*reply, error) {
	var request WriteOffRequest
	if err := decode(r, &request); err != nil {
		return nil, err
	}
	if err := checkOperationID(request.OperationID); err != nil {
		return nil, err
	}
	if err := checkName(request.Session); err != nil {
		return nil, err
	}
	result, err := s.execute(r.Context(), &controlapi.Command{WriteOffGrant: &controlapi.WriteOffGrantRequest{
		OperationID: request.OperationID, Session: request.Session, Operator: r.operator,
	}})
	if err != nil {
		return nil, err
	}
	return ok(WriteOffReply{Session: request.Session, Charged: result.WrittenOff}), nil
}
