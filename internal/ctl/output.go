package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// rawReply decodes a reply and keeps its raw JSON, so that JSON output includes fields
// that this version does not know.
type rawReply struct {
	target any
	raw    json.RawMessage
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *rawReply) UnmarshalJSON(data []byte) error {
	r.raw = bytes.Clone(data)
	return json.Unmarshal(data, r.target)
}

// MarshalJSON implements json.Marshaler.
func (r *rawReply) MarshalJSON() ([]byte, error) { return r.raw, nil }

// print writes v as JSON or, in table format, the table that tabulate returns.
func (c *command) print(v any, tabulate func() table) error {
	if c.format == formatJSON {
		return c.printJSON(v)
	}
	return tabulate().write(c.Stdout)
}

// printValue writes v as JSON or, in table format, the line.
func (c *command) printValue(v any, line string) error {
	if c.format == formatJSON {
		return c.printJSON(v)
	}
	_, err := fmt.Fprintln(c.Stdout, line)
	return err
}

func (c *command) printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = c.Stdout.Write(append(data, '\n'))
	return err
}

// changeOutput is the JSON form of the output of a change.
type changeOutput struct {
	*operatorapi.ChangeReply
	// Key is a caller's new key.
	Key string `json:"key,omitempty"`
}

// printChange prints the result of a change and returns its failure, if any. key is a
// caller's new key, or empty. A repeated operation that was first sent with another key
// is a conflict: the key is not in force and is not printed.
func (c *command) printChange(reply *operatorapi.ChangeReply, err error, key string) error {
	if err != nil {
		return c.addRetryHint(err)
	}
	if key != "" && len(reply.Records) == 1 && callerKeyHash(reply.Records[0]) != hashKey(key) {
		text := fmt.Sprintf("conflict: operation %s was already made with another key", reply.OperationID)
		return &failure{code: exitConflict, text: text}
	}
	if err := c.print(changeOutput{reply, key}, func() table { return changeTable(reply, key) }); err != nil {
		return err
	}
	if reply.State == operatorapi.StatePending {
		return &failure{code: exitPending, text: fmt.Sprintf(
			"pending: revision %d is not yet in force on every host; repeat the command with --operation-id %s",
			reply.Revision, reply.OperationID)}
	}
	return nil
}

// addRetryHint adds to the failure of a change whose outcome is unknown how to repeat it
// safely.
func (c *command) addRetryHint(err error) error {
	var f *failure
	if !errors.As(err, &f) || f.code != exitUnavailable {
		return err
	}
	return &failure{code: f.code, text: fmt.Sprintf(
		"%s; the change may or may not have been made; send it again with --operation-id %s", f.text, c.operationID)}
}

// printWinner prints the record that won a conflict to standard error.
func (c *command) printWinner(record *config.Record) {
	fmt.Fprintf(c.Stderr, "current record: %s %s, revision %d: %s\n", record.Kind, record.Name, record.Revision, record.Spec)
}
