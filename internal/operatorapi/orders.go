package operatorapi

import (
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func (s *server) orders(r *call) (*reply, error) {
	found, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{Orders: true})
	if err != nil {
		return nil, err
	}
	return ok(OrdersReply{Orders: orEmpty(found.Orders)}), nil
}

// sendOrder sends an order through Options.SendOrder.
func (s *server) sendOrder(r *call) (*reply, error) {
	var request OrderRequest
	if err := decode(r, &request); err != nil {
		return nil, err
	}
	if err := checkOrder(&request); err != nil {
		return nil, err
	}
	if s.SendOrder == nil {
		return nil, errkind.New(errkind.Forbidden, "this host does not send orders")
	}
	sent, err := s.SendOrder(r.Context(), &request)
	if err != nil {
		return nil, changeError(r.Context(), err)
	}
	return ok(sent), nil
}

func checkOrder(request *OrderRequest) error {
	if err := checkName(request.Upstream); err != nil {
		return err
	}
	if err := checkOperationID(request.Order.ID); err != nil {
		return err
	}
	switch request.Order.Action {
	case announce.ActionLoad, announce.ActionUnload, announce.ActionRole:
	default:
		return errkind.New(errkind.InvalidRequest, "unknown action %q", request.Order.Action)
	}
	if request.Order.FencingNumber != 0 {
		return errkind.New(errkind.InvalidRequest, "the control group sets the fencing number")
	}
	return nil
}
