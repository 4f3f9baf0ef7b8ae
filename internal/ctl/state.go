package ctl

import (
	"context"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// query gets path from the API, decodes the response into reply and prints it. tabulate is
// called once reply is decoded.
func (c *command) query(ctx context.Context, cl *client, path string, reply any, tabulate func() table) error {
	raw := &rawReply{target: reply}
	if err := cl.call(ctx, "GET", path, nil, raw); err != nil {
		return err
	}
	return c.print(raw, tabulate)
}

func (c *command) addStatusCommands(app *kingpin.Application) {
	c.addUsageCommand(app)
	c.addRequestCommands(app)
	c.addOrderCommands(app)
	c.addReplicaCommands(app)
	c.addGrantCommands(app)
	c.setAPIAction(app.Command("upstreams", "List the upstreams that the server knows."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.UpstreamsReply
		return c.query(ctx, cl, operatorapi.PathUpstreams, &reply, func() table { return upstreamTable(reply.Upstreams) })
	})
	c.setAPIAction(app.Command("hosts", "List the entry hosts with a live session."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.HostsReply
		return c.query(ctx, cl, operatorapi.PathHosts, &reply, func() table { return hostTable(reply.Hosts) })
	})
	c.setAPIAction(app.Command("replicas", "List the control replicas."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.ReplicasReply
		return c.query(ctx, cl, operatorapi.PathReplicas, &reply, func() table { return replicaTable(&reply) })
	})
	c.setAPIAction(app.Command("status", "Show a summary of the fleet."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.StatusReply
		return c.query(ctx, cl, operatorapi.PathStatus, &reply, func() table { return statusTable(&reply) })
	})
	history := app.Command("config", "The whole configuration.").Command("history", "List the changes of records, oldest first.")
	after := history.Flag("after", "List changes after this revision only.").Default("0").String()
	c.setAPIAction(history, func(ctx context.Context, cl *client) error {
		var reply operatorapi.HistoryReply
		path := operatorapi.PathHistory + "?" + url.Values{"after": {*after}}.Encode()
		return c.query(ctx, cl, path, &reply, func() table { return historyTable(reply.History) })
	})
}

func (c *command) addUsageCommand(app *kingpin.Application) {
	clause := app.Command("usage", "List the tokens paid in, charged, reserved and granted of each budget.")
	organisation := clause.Flag("organisation", "List the budgets of this organisation only.").String()
	c.setAPIAction(clause, func(ctx context.Context, cl *client) error {
		var reply operatorapi.UsageReply
		path := operatorapi.PathUsage + organisationQuery(*organisation)
		return c.query(ctx, cl, path, &reply, func() table { return budgetTable(reply.Budgets) })
	})
}

func (c *command) addRequestCommands(app *kingpin.Application) {
	group := app.Command("request", "Requests of callers.")
	get := group.Command("get", "Show the record of a request.")
	id := get.Arg("id", "Id of the request.").Required().String()
	c.setAPIAction(get, func(ctx context.Context, cl *client) error {
		var reply controlapi.RequestStatus
		path := operatorapi.PathRequests + "/" + url.PathEscape(*id)
		return c.query(ctx, cl, path, &reply, func() table { return requestTable([]controlapi.RequestStatus{reply}) })
	})
	list := group.Command("list", "List the records of requests.")
	organisation := list.Flag("organisation", "List the requests of this organisation only.").String()
	c.setAPIAction(list, func(ctx context.Context, cl *client) error {
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

func (c *command) addReplicaCommands(app *kingpin.Application) {
	group := app.Command("replica", "Change the control group, one replica at a time.")
	c.addReplicaCommand(group, controlapi.ReplicaAdd, "Add a replica as a learner. The id must be higher than all earlier ones.")
	c.addReplicaCommand(group, controlapi.ReplicaPromote, "Make a learner a voter once it has caught up.")
	c.addReplicaCommand(group, controlapi.ReplicaRemove, "Remove a replica that is not the leader.")
	c.addReplicaCommand(group, controlapi.ReplicaLead, "Transfer the leadership to a replica.")
}

func (c *command) addReplicaCommand(group *kingpin.CmdClause, action controlapi.ReplicaAction, help string) {
	clause := group.Command(string(action), help)
	change := &controlapi.ReplicaChange{Action: action}
	clause.Arg("id", "Id of the replica.").Required().Uint64Var(&change.ID)
	if action == controlapi.ReplicaAdd {
		clause.Flag("address", "Address at which other hosts reach the replica's host, as IP:port.").Required().StringVar(&change.Address)
	}
	c.setAPIAction(clause, func(ctx context.Context, cl *client) error {
		var reply operatorapi.ReplicasReply
		if err := cl.call(ctx, "POST", operatorapi.PathReplicas, change, &reply); err != nil {
			return err
		}
		return c.print(reply, func() table { return replicaTable(&reply) })
	})
}

func (c *command) addGrantCommands(app *kingpin.Application) {
	group := app.Command("grant", "Tokens granted to hosts, which they may spend while the control group is unreachable.")
	c.setAPIAction(group.Command("list", "List the outstanding grants."), func(ctx context.Context, cl *client) error {
		var reply operatorapi.GrantsReply
		return c.query(ctx, cl, operatorapi.PathGrants, &reply, func() table { return grantTable(reply.Grants) })
	})
	writeOff := group.Command("write-off", "Charge the grants of an ended session in full, because its journal cannot be recovered.")
	var request operatorapi.WriteOffRequest
	writeOff.Arg("session", "Id of the session.").Required().StringVar(&request.Session)
	c.setAPIAction(writeOff, func(ctx context.Context, cl *client) error {
		request.OperationID = c.ensureOperationID()
		var reply operatorapi.WriteOffReply
		if err := cl.call(ctx, "POST", operatorapi.PathGrants, request, &reply); err != nil {
			return c.addRetryHint(err)
		}
		return c.print(reply, func() table {
			return table{row("SESSION", "CHARGED"), row(reply.Session, reply.Charged)}
		})
	})
}
