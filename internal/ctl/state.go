package ctl

import (
	"context"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// query prints what the API says at path. tabulate is called after reply is filled.
func (c *command) query(ctx context.Context, cl *client, path string, reply any, tabulate func() table) error {
	raw := &rawReply{into: reply}
	if err := cl.call(ctx, "GET", path, nil, raw); err != nil {
		return err
	}
	return c.print(raw, tabulate)
}

func (c *command) addState(app *kingpin.Application) {
	c.addUsage(app)
	c.addRequest(app)
	c.addOrder(app)
	c.addReplica(app)
	c.addGrant(app)
	c.calls(app.Command("upstreams", "List the upstreams that the server knows."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.UpstreamsReply
		return c.query(ctx, cl, operatorapi.PathUpstreams, &reply, func() table { return upstreamTable(reply.Upstreams) })
	})
	c.calls(app.Command("hosts", "List the entry hosts with a live session."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.HostsReply
		return c.query(ctx, cl, operatorapi.PathHosts, &reply, func() table { return hostTable(reply.Hosts) })
	})
	c.calls(app.Command("replicas", "List the control replicas."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.ReplicasReply
		return c.query(ctx, cl, operatorapi.PathReplicas, &reply, func() table { return replicaTable(&reply) })
	})
	c.calls(app.Command("status", "Sum up the fleet."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.StatusReply
		return c.query(ctx, cl, operatorapi.PathStatus, &reply, func() table { return statusTable(&reply) })
	})
	history := app.Command("config", "The configuration as a whole.").Command("history", "List the changes of records, oldest first.")
	after := history.Flag("after", "List changes after this revision only.").Default("0").String()
	c.calls(history, func(ctx context.Context, cl *client) error {
		var reply operatorapi.HistoryReply
		path := operatorapi.PathHistory + "?" + url.Values{"after": {*after}}.Encode()
		return c.query(ctx, cl, path, &reply, func() table { return historyTable(reply.History) })
	})
}

func (c *command) addUsage(app *kingpin.Application) {
	clause := app.Command("usage", "List what is paid in, charged, reserved and granted of each budget, in tokens.")
	organisation := clause.Flag("organisation", "List the budgets of this organisation only.").String()
	c.calls(clause, func(ctx context.Context, cl *client) error {
		var reply operatorapi.UsageReply
		path := operatorapi.PathUsage + organisationQuery(*organisation)
		return c.query(ctx, cl, path, &reply, func() table { return budgetTable(reply.Budgets) })
	})
}

func (c *command) addRequest(app *kingpin.Application) {
	group := app.Command("request", "Requests of callers.")
	get := group.Command("get", "Show the record of a request.")
	id := get.Arg("id", "Id of the request.").Required().String()
	c.calls(get, func(ctx context.Context, cl *client) error {
		var reply controlapi.RequestStatus
		path := operatorapi.PathRequests + "/" + url.PathEscape(*id)
		return c.query(ctx, cl, path, &reply, func() table { return requestTable([]controlapi.RequestStatus{reply}) })
	})
	list := group.Command("list", "List the records of requests.")
	organisation := list.Flag("organisation", "List the requests of this organisation only.").String()
	c.calls(list, func(ctx context.Context, cl *client) error {
		var reply operatorapi.RequestsReply
		path := operatorapi.PathRequests + organisationQuery(*organisation)
		return c.query(ctx, cl, path, &reply, func() table { return requestTable(reply.Requests) })
	})
}

func organisationQuery(name string) string {
	if name == "" {
		return ""
	}
	return "?" + url.Values{"organisation": {name}}.Encode()
}

func (c *command) addReplica(app *kingpin.Application) {
	group := app.Command("replica", "Changes of the control group, one replica at a time.")
	c.addReplicaChange(group, controlapi.ReplicaAdd, "Add a replica as a learner, under an id above every earlier one.")
	c.addReplicaChange(group, controlapi.ReplicaPromote, "Make a learner a voter once it has caught up.")
	c.addReplicaChange(group, controlapi.ReplicaRemove, "Remove a replica that does not lead.")
	c.addReplicaChange(group, controlapi.ReplicaLead, "Hand the leadership over to a replica.")
}

func (c *command) addReplicaChange(group *kingpin.CmdClause, action controlapi.ReplicaAction, help string) {
	clause := group.Command(string(action), help)
	change := &controlapi.ReplicaChange{Action: action}
	clause.Arg("id", "Id of the replica.").Required().Uint64Var(&change.ID)
	if action == controlapi.ReplicaAdd {
		clause.Flag("address", "Address of the replica's host for other hosts, as IP:port.").Required().StringVar(&change.Address)
	}
	c.calls(clause, func(ctx context.Context, cl *client) error {
		var reply operatorapi.ReplicasReply
		if err := cl.call(ctx, "POST", operatorapi.PathReplicas, change, &reply); err != nil {
			return err
		}
		return c.print(reply, func() table { return replicaTable(&reply) })
	})
}

func (c *command) addGrant(app *kingpin.Application) {
	group := app.Command("grant", "Tokens that hosts hold for a partition.")
	c.calls(group.Command("list", "List the grants that are outstanding."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.GrantsReply
		return c.query(ctx, cl, operatorapi.PathGrants, &reply, func() table { return grantTable(reply.Grants) })
	})
	writeOff := group.Command("write-off", "Charge the grants of an ended session in full, because its journal can't be recovered.")
	var request operatorapi.WriteOffRequest
	writeOff.Arg("session", "Id of the session.").Required().StringVar(&request.Session)
	c.calls(writeOff, func(ctx context.Context, cl *client) error {
		request.OperationID = c.id()
		var reply operatorapi.WriteOffReply
		if err := cl.call(ctx, "POST", operatorapi.PathGrants, request, &reply); err != nil {
			return c.unknown(err)
		}
		return c.print(reply, func() table {
			return table{row("SESSION", "CHARGED"), row(reply.Session, reply.Charged)}
		})
	})
}
