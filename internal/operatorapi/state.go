package operatorapi

import (
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func (s *server) usage(r *call) (*reply, error) {
	found, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{
		Budgets: true, Organisation: r.URL.Query().Get("organisation"),
	})
	if err != nil {
		return nil, err
	}
	return ok(UsageReply{Budgets: orEmpty(found.Budgets)}), nil
}

func (s *server) requests(r *call) (*reply, error) {
	found, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{
		Requests: true, Organisation: r.URL.Query().Get("organisation"),
	})
	if err != nil {
		return nil, err
	}
	return ok(RequestsReply{Requests: orEmpty(found.Requests)}), nil
}

func (s *server) getRequest(r *call) (*reply, error) {
	id := r.PathValue("id")
	if err := checkName(id); err != nil {
		return nil, err
	}
	found, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{Request: id})
	if err != nil {
		return nil, err
	}
	if len(found.Requests) == 0 {
		return nil, errkind.New(errkind.NotFound, "request %q does not exist", id)
	}
	return ok(found.Requests[0]), nil
}

func (s *server) hosts(r *call) (*reply, error) {
	found, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{Hosts: true})
	if err != nil {
		return nil, err
	}
	return ok(HostsReply{Hosts: orEmpty(found.Hosts)}), nil
}

func (s *server) history(r *call) (*reply, error) {
	query := &controlapi.QueryRequest{History: true}
	after, err := queryUint(r, "after")
	if err != nil {
		return nil, err
	}
	if after != nil {
		query.HistoryAfter = *after
	}
	found, err := s.Control.Query(r.Context(), query)
	if err != nil {
		return nil, err
	}
	return ok(HistoryReply{History: orEmpty(found.History)}), nil
}

// getChange reports whether the change with an operation id is committed, and whether
// it is in force on every live host.
func (s *server) getChange(r *call) (*reply, error) {
	id := r.PathValue("id")
	if err := checkOperationID(id); err != nil {
		return nil, err
	}
	found, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{History: true})
	if err != nil {
		return nil, err
	}
	index := slices.IndexFunc(found.History, func(h controlapi.HistoryEntry) bool { return h.OperationID == id })
	if index < 0 {
		return nil, errkind.New(errkind.NotFound, "the retained history has no change with operation id %q", id)
	}
	revision := found.History[index].Revision
	live, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{Hosts: true})
	if err != nil {
		return nil, err
	}
	behind := slices.ContainsFunc(live.Hosts, func(h controlapi.HostInfo) bool { return h.Revision < revision })
	return changeReply(id, &controlapi.ConfigureReply{Revision: revision, Accepted: !behind})
}

func (s *server) status(r *call) (*reply, error) {
	hosts, err := s.Control.Query(r.Context(), &controlapi.QueryRequest{Hosts: true})
	if err != nil {
		return nil, err
	}
	replicas, err := s.listReplicas(r.Context())
	if err != nil {
		return nil, err
	}
	status := StatusReply{
		Host:          s.Host,
		Revision:      hosts.Revision,
		ActiveSchema:  hosts.Schema,
		Hosts:         orEmpty(hosts.Hosts),
		ReplicasReply: *replicas,
	}
	if s.Ready != nil {
		if reason := s.Ready(); reason != nil {
			status.NotReady = reason.Error()
		}
	}
	return ok(status), nil
}

func (s *server) upstreams(*call) (*reply, error) {
	if s.Upstreams == nil {
		return ok(UpstreamsReply{Upstreams: []Upstream{}}), nil
	}
	return ok(UpstreamsReply{Upstreams: orEmpty(s.Upstreams())}), nil
}
