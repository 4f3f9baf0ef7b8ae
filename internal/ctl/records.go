package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

var recordKinds = []struct {
	kind config.Kind
	help string
}{
	{config.KindOrganisation, "Organisations."},
	{config.KindCaller, "Callers, which belong to organisations."},
	{config.KindBudget, "Prepaid budgets."},
	{config.KindClass, "Priority classes."},
	{config.KindPolicy, "Policies: which upstreams may serve which work."},
	{config.KindService, "Services: models and plain services."},
}

// recordCommand is a command about one record.
type recordCommand struct {
	*command
	kind config.Kind
	name string
	spec *specFlags
	// key is set for the commands that make a caller's key.
	key *callerKey
}

func (c *command) addRecords(app *kingpin.Application) {
	for _, k := range recordKinds {
		group := app.Command(string(k.kind), k.help)
		c.addWrite(group, k.kind, "create", "Create a record that does not exist.", (*recordCommand).create)
		c.addWrite(group, k.kind, "apply", "Create a record, or change the fields whose flags are given.", (*recordCommand).apply)
		get := &recordCommand{command: c, kind: k.kind}
		c.calls(named(get, group.Command("get", "Show a record.")), get.get)
		list := &recordCommand{command: c, kind: k.kind}
		c.calls(group.Command("list", "List the records."), list.list)
		remove := &recordCommand{command: c, kind: k.kind}
		c.calls(named(remove, group.Command("delete", "Delete a record.")), remove.delete)
		if k.kind == config.KindBudget {
			c.addTopUp(group)
		}
	}
	apply := app.Command("apply", "Write all records of a file, all or none.")
	file := apply.Flag("file", `File of records as JSON: one, an array, several one after another, or {"records": […]}; "-" is the standard input.`).
		Short('f').Required().String()
	c.calls(apply, func(ctx context.Context, cl *client) error { return c.applyFile(ctx, cl, *file) })
}

func named(r *recordCommand, clause *kingpin.CmdClause) *kingpin.CmdClause {
	clause.Arg("name", "Name of the record.").Required().StringVar(&r.name)
	return clause
}

func (c *command) addWrite(group *kingpin.CmdClause, kind config.Kind, verb, help string, run func(*recordCommand, context.Context, *client) error) {
	r := &recordCommand{command: c, kind: kind}
	clause := named(r, group.Command(verb, help))
	r.spec = newSpecFlags(clause, kind)
	if kind == config.KindCaller {
		r.key = newCallerKey(clause, verb == "create")
	}
	c.calls(clause, func(ctx context.Context, cl *client) error { return run(r, ctx, cl) })
}

func (r *recordCommand) path() string {
	return operatorapi.RecordsPath(r.kind) + "/" + url.PathEscape(r.name)
}

// revision returns the revision that the operator names, else fallback.
func (c *command) revision(fallback uint64) *uint64 {
	if c.ifRevisionSet {
		fallback = c.ifRevision
	}
	return &fallback
}

// id returns the operation id of the change.
func (c *command) id() string {
	if c.operationID == "" {
		c.operationID = c.NewID()
	}
	return c.operationID
}

func (r *recordCommand) create(ctx context.Context, cl *client) error {
	return r.put(ctx, cl, nil, 0)
}

// apply reads the record, so that fields that this version does not know survive,
// and writes it back only if nobody else has changed it meanwhile.
func (r *recordCommand) apply(ctx context.Context, cl *client) error {
	if done, err := r.earlier(ctx, cl); done != nil || err != nil {
		return r.changed(done, err, "")
	}
	present, err := r.present(ctx, cl)
	if err != nil {
		return err
	}
	converted, err := config.Convert(*present, config.MaxSchema)
	if present.Revision > 0 && err != nil {
		return err
	}
	return r.put(ctx, cl, converted.Spec, present.Revision)
}

// present returns the record as it is; a record that does not exist is empty.
func (r *recordCommand) present(ctx context.Context, cl *client) (*config.Record, error) {
	var record config.Record
	err := cl.call(ctx, "GET", r.path(), nil, &record)
	var f *failure
	if errors.As(err, &f) && f.code == exitNotFound {
		return &config.Record{}, nil
	}
	return &record, err
}

func (r *recordCommand) put(ctx context.Context, cl *client, old json.RawMessage, revision uint64) error {
	secret := ""
	if r.key != nil {
		made, err := r.key.make(r.command, old)
		if err != nil {
			return err
		}
		secret = made
		r.key.hash(r.spec, secret)
	}
	spec, err := r.spec.merge(old)
	if err != nil {
		return err
	}
	request := operatorapi.PutRequest{
		OperationID: r.id(), IfRevision: r.revision(revision), SchemaVersion: config.MaxSchema, Spec: spec,
	}
	done, err := cl.change(ctx, "PUT", r.path(), request, !r.noWait)
	return r.changed(done, err, secret)
}

func (r *recordCommand) get(ctx context.Context, cl *client) error {
	var record config.Record
	if err := cl.call(ctx, "GET", r.path(), nil, &record); err != nil {
		return err
	}
	return r.print(record, func() table { return recordTable([]config.Record{record}) })
}

func (r *recordCommand) list(ctx context.Context, cl *client) error {
	var reply operatorapi.RecordsReply
	return r.query(ctx, cl, operatorapi.RecordsPath(r.kind), &reply, func() table { return recordTable(reply.Records) })
}

func (r *recordCommand) delete(ctx context.Context, cl *client) error {
	if done, err := r.earlier(ctx, cl); done != nil || err != nil {
		return r.changed(done, err, "")
	}
	revision, err := r.revisionToDelete(ctx, cl)
	if err != nil {
		return err
	}
	query := url.Values{"operation_id": {r.id()}, "if_revision": {strconv.FormatUint(revision, 10)}}
	done, err := cl.change(ctx, "DELETE", r.path()+"?"+query.Encode(), nil, !r.noWait)
	return r.changed(done, err, "")
}

// revisionToDelete returns the revision that a deletion names.
func (r *recordCommand) revisionToDelete(ctx context.Context, cl *client) (uint64, error) {
	if r.ifRevisionSet {
		return r.ifRevision, nil
	}
	present, err := r.present(ctx, cl)
	if err == nil && present.Revision == 0 {
		err = &failure{code: exitNotFound, text: fmt.Sprintf("not_found: no %s %q", r.kind, r.name)}
	}
	return present.Revision, err
}

func (c *command) addTopUp(group *kingpin.CmdClause) {
	clause := group.Command("top-up", "Pay tokens into a budget.")
	r := &recordCommand{command: c, kind: config.KindBudget}
	tokens := named(r, clause).Flag("tokens", "Number of tokens paid in.").Required().Int64()
	c.calls(clause, func(ctx context.Context, cl *client) error {
		var budget controlapi.BudgetStatus
		request := operatorapi.TopUpRequest{OperationID: c.id(), Tokens: *tokens}
		if err := cl.call(ctx, "POST", r.path()+operatorapi.PathTopUps, request, &budget); err != nil {
			return c.unknown(err)
		}
		return c.print(budget, func() table { return budgetTable([]controlapi.BudgetStatus{budget}) })
	})
}
