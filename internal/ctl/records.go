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

// recordKinds lists the kinds of records that have commands.
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

// recordCommand is a command on one record, or on all records of a kind.
type recordCommand struct {
	*command
	kind config.Kind
	name string
	spec *specFlags
	// key is set for the commands that may set a caller's key.
	key *callerKeyFlags
}

func (c *command) addRecordCommands(app *kingpin.Application) {
	for _, k := range recordKinds {
		group := app.Command(string(k.kind), k.help)
		c.addWriteCommand(group, k.kind, "create", "Create a record that does not exist.", (*recordCommand).create)
		c.addWriteCommand(group, k.kind, "apply", "Create a record, or change the fields whose flags are given.", (*recordCommand).apply)
		get := &recordCommand{command: c, kind: k.kind}
		c.setAPIAction(withNameArg(get, group.Command("get", "Show a record.")), get.get)
		list := &recordCommand{command: c, kind: k.kind}
		c.setAPIAction(group.Command("list", "List the records."), list.list)
		remove := &recordCommand{command: c, kind: k.kind}
		c.setAPIAction(withNameArg(remove, group.Command("delete", "Delete a record.")), remove.delete)
		if k.kind == config.KindBudget {
			c.addTopUpCommand(group)
		}
	}
	apply := app.Command("apply", "Write the records of a file, either all or none.")
	file := apply.Flag("file", `JSON file of records: one record, an array, several in a row, or {"records": […]}; "-" means standard input.`).
		Short('f').Required().String()
	c.setAPIAction(apply, func(ctx context.Context, cl *client) error { return c.applyFile(ctx, cl, *file) })
}

// withNameArg adds the argument for the name of the record to clause.
func withNameArg(r *recordCommand, clause *kingpin.CmdClause) *kingpin.CmdClause {
	clause.Arg("name", "Name of the record.").Required().StringVar(&r.name)
	return clause
}

// addWriteCommand adds a command that creates or changes a record.
func (c *command) addWriteCommand(group *kingpin.CmdClause, kind config.Kind, verb, help string, run func(*recordCommand, context.Context, *client) error) {
	r := &recordCommand{command: c, kind: kind}
	clause := withNameArg(r, group.Command(verb, help))
	r.spec = newSpecFlags(clause, kind)
	if kind == config.KindCaller {
		r.key = newCallerKeyFlags(clause, verb == "create")
	}
	c.setAPIAction(clause, func(ctx context.Context, cl *client) error { return run(r, ctx, cl) })
}

func (r *recordCommand) path() string {
	return operatorapi.RecordsPath(r.kind) + "/" + url.PathEscape(r.name)
}

// expectedRevision returns the revision given by --if-revision, or fallback.
func (c *command) expectedRevision(fallback uint64) *uint64 {
	if c.ifRevisionSet {
		fallback = c.ifRevision
	}
	return &fallback
}

// ensureOperationID returns the operation id of the change and generates it if the command
// line gives none.
func (c *command) ensureOperationID() string {
	if c.operationID == "" {
		c.operationID = c.NewID()
	}
	return c.operationID
}

func (r *recordCommand) create(ctx context.Context, cl *client) error {
	return r.put(ctx, cl, nil, 0)
}

// apply reads the record, so that fields that this version does not know are kept, and
// writes it back only if it has not been changed since.
func (r *recordCommand) apply(ctx context.Context, cl *client) error {
	if reply, err := r.earlierResult(ctx, cl); reply != nil || err != nil {
		return r.printChange(reply, err, "")
	}
	current, err := r.current(ctx, cl)
	if err != nil {
		return err
	}
	converted, err := config.Convert(*current, config.MaxSchema)
	if current.Revision > 0 && err != nil {
		return err
	}
	return r.put(ctx, cl, converted.Spec, current.Revision)
}

// current returns the record as stored. A record that does not exist yields an empty one.
func (r *recordCommand) current(ctx context.Context, cl *client) (*config.Record, error) {
	var record config.Record
	err := cl.call(ctx, "GET", r.path(), nil, &record)
	var f *failure
	if errors.As(err, &f) && f.code == exitNotFound {
		return &config.Record{}, nil
	}
	return &record, err
}

// put writes the record: oldSpec with the fields of the command line. The write is
// conditional on revision unless --if-revision gives another.
func (r *recordCommand) put(ctx context.Context, cl *client, oldSpec json.RawMessage, revision uint64) error {
	newKey := ""
	if r.key != nil {
		resolved, err := r.key.resolve(r.command, oldSpec)
		if err != nil {
			return err
		}
		newKey = resolved
		r.key.addHash(r.spec, newKey)
	}
	spec, err := r.spec.merge(oldSpec)
	if err != nil {
		return err
	}
	request := operatorapi.PutRequest{
		OperationID: r.ensureOperationID(), IfRevision: r.expectedRevision(revision), SchemaVersion: config.MaxSchema, Spec: spec,
	}
	reply, err := cl.sendChange(ctx, "PUT", r.path(), request, !r.noWait)
	return r.printChange(reply, err, newKey)
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
	if reply, err := r.earlierResult(ctx, cl); reply != nil || err != nil {
		return r.printChange(reply, err, "")
	}
	revision, err := r.revisionToDelete(ctx, cl)
	if err != nil {
		return err
	}
	query := url.Values{"operation_id": {r.ensureOperationID()}, "if_revision": {strconv.FormatUint(revision, 10)}}
	reply, err := cl.sendChange(ctx, "DELETE", r.path()+"?"+query.Encode(), nil, !r.noWait)
	return r.printChange(reply, err, "")
}

// revisionToDelete returns the revision that a deletion is conditional on.
func (r *recordCommand) revisionToDelete(ctx context.Context, cl *client) (uint64, error) {
	if r.ifRevisionSet {
		return r.ifRevision, nil
	}
	current, err := r.current(ctx, cl)
	if err == nil && current.Revision == 0 {
		err = &failure{code: exitNotFound, text: fmt.Sprintf("not_found: %s %q does not exist", r.kind, r.name)}
	}
	return current.Revision, err
}

func (c *command) addTopUpCommand(group *kingpin.CmdClause) {
	clause := group.Command("top-up", "Pay tokens into a budget.")
	r := &recordCommand{command: c, kind: config.KindBudget}
	tokens := withNameArg(r, clause).Flag("tokens", "Number of tokens paid in.").Required().Int64()
	c.setAPIAction(clause, func(ctx context.Context, cl *client) error {
		var budget controlapi.BudgetStatus
		request := operatorapi.TopUpRequest{OperationID: c.ensureOperationID(), Tokens: *tokens}
		if err := cl.call(ctx, "POST", r.path()+operatorapi.PathTopUps, request, &budget); err != nil {
			return c.addRetryHint(err)
		}
		return c.print(budget, func() table { return budgetTable([]controlapi.BudgetStatus{budget}) })
	})
}
