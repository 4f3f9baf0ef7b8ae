package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// rawReply decodes an answer and keeps its text, so that JSON output shows fields
// that this version does not know.
type rawReply struct {
	into any
	text json.RawMessage
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *rawReply) UnmarshalJSON(data []byte) error {
	r.text = bytes.Clone(data)
	return json.Unmarshal(data, r.into)
}

// MarshalJSON implements json.Marshaler.
func (r *rawReply) MarshalJSON() ([]byte, error) { return r.text, nil }

// print writes v as JSON, or the table.
func (c *command) print(v any, tabulate func() table) error {
	if c.format == formatJSON {
		return c.printJSON(v)
	}
	return tabulate().write(c.Stdout)
}

// printValue writes v as JSON, or the line.
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

// changed prints the result of a change. key is a caller's new key, or empty.
func (c *command) changed(done *operatorapi.ChangeReply, err error, key string) error {
	if err != nil {
		return c.unknown(err)
	}
	if key != "" && len(done.Records) == 1 && keyHashOf(done.Records[0]) != hashKey(key) {
		text := fmt.Sprintf("conflict: the operation %s was done before with another key", done.OperationID)
		return &failure{code: exitConflict, text: text}
	}
	if err := c.print(changeOutput{done, key}, func() table { return changeTable(done, key) }); err != nil {
		return err
	}
	if done.State == operatorapi.StatePending {
		return &failure{code: exitPending, text: fmt.Sprintf(
			"pending: revision %d is not yet in force on every host; ask again with --operation-id %s",
			done.Revision, done.OperationID)}
	}
	return nil
}

// unknown adds to the failure of a change how it is sent again.
func (c *command) unknown(err error) error {
	var f *failure
	if !errors.As(err, &f) || f.code != exitUnavailable {
		return err
	}
	return &failure{code: f.code, text: fmt.Sprintf(
		"%s; the change may or may not be made, send it again with --operation-id %s", f.text, c.operationID)}
}

// printWinner shows the record that won a conflict on the standard error.
func (c *command) printWinner(record *config.Record) {
	fmt.Fprintf(c.Stderr, "present record: %s %s, revision %d: %s\n", record.Kind, record.Name, record.Revision, record.Spec)
}
