package operatorapi

import "net/http"

// route is one endpoint of the API.
type route struct {
	method string
	// path is a path pattern of http.ServeMux.
	path   string
	handle func(*call) (*reply, error)
}

func (s *server) routes() []route {
	return append(s.recordRoutes(), []route{
		{http.MethodGet, PathRecords, s.listRecords(allKinds)},
		{http.MethodPost, PathApply, s.apply},
		{http.MethodPost, PathPrefix + "budgets/{name}" + PathTopUps, s.topUp},
		{http.MethodGet, PathUsage, s.usage},
		{http.MethodGet, PathRequests, s.requests},
		{http.MethodGet, PathRequests + "/{id}", s.getRequest},
		{http.MethodGet, PathHistory, s.history},
		{http.MethodGet, PathChanges + "/{id}", s.getChange},
		{http.MethodGet, PathStatus, s.status},
		{http.MethodGet, PathHosts, s.hosts},
		{http.MethodGet, PathReplicas, s.replicas},
		{http.MethodPost, PathReplicas, s.changeReplica},
		{http.MethodGet, PathGrants, s.grants},
		{http.MethodPost, PathGrants, s.writeOff},
		{http.MethodGet, PathUpstreams, s.upstreams},
		{http.MethodGet, PathOrders, s.orders},
		{http.MethodPost, PathOrders, s.sendOrder},
	}...)
}

func (s *server) recordRoutes() []route {
	var routes []route
	for kind := range plurals {
		list := RecordsPath(kind)
		routes = append(routes,
			route{http.MethodGet, list, s.listRecords(kind)},
			route{http.MethodGet, list + "/{name}", s.getRecord(kind)},
			route{http.MethodPut, list + "/{name}", s.putRecord(kind)},
			route{http.MethodDelete, list + "/{name}", s.deleteRecord(kind)},
		)
	}
	return routes
}
