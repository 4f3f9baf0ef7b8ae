package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// recordList is the content of a file of the form {"records": […]}.
type recordList struct {
	Records []config.Record `json:"records"`
}

// applyFile writes the records of a file. A record without a revision is written only
// if it is still at the revision that was read just before.
func (c *command) applyFile(ctx context.Context, cl *client, path string) error {
	data, err := c.readFile(path)
	if err != nil {
		return err
	}
	records, err := parseRecords(data)
	if err != nil {
		return usageError("%s: %v", path, err)
	}
	if reply, err := c.earlierResult(ctx, cl); reply != nil || err != nil {
		return c.printChange(reply, err, "")
	}
	var current operatorapi.RecordsReply
	if err := cl.call(ctx, "GET", operatorapi.PathRecords, nil, &current); err != nil {
		return err
	}
	request := operatorapi.ApplyRequest{OperationID: c.ensureOperationID(), Writes: buildWrites(records, current.Records)}
	reply, err := cl.sendChange(ctx, "POST", operatorapi.PathApply, request, !c.noWait)
	return c.printChange(reply, err, "")
}

// readFile reads a file. The path "-", which kingpin passes as "", means standard input.
func (c *command) readFile(path string) ([]byte, error) {
	if path == "-" || path == "" {
		return io.ReadAll(c.Stdin)
	}
	return os.ReadFile(path)
}

// recordID identifies a record by kind and name.
type recordID struct {
	kind config.Kind
	name string
}

// buildWrites returns conditional writes of records. A record without a revision is
// conditional on its revision in current.
func buildWrites(records, current []config.Record) []operatorapi.Write {
	revisions := make(map[recordID]uint64, len(current))
	for _, r := range current {
		revisions[recordID{r.Kind, r.Name}] = r.Revision
	}
	list := make([]operatorapi.Write, len(records))
	for i, record := range records {
		revision := record.Revision
		if revision == 0 {
			revision = revisions[recordID{record.Kind, record.Name}]
		}
		record.Revision = 0
		list[i] = operatorapi.Write{Record: record, IfRevision: &revision}
	}
	return list
}

// parseRecords decodes one or several JSON values, each of which is a record, an array
// of records or a recordList.
func parseRecords(data []byte) ([]config.Record, error) {
	var records []config.Record
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		parsed, err := parseValue(raw)
		if err != nil {
			return nil, err
		}
		records = append(records, parsed...)
	}
	if len(records) == 0 {
		return nil, errors.New("contains no record")
	}
	return setDefaultSchemaVersions(records), nil
}

func parseValue(raw json.RawMessage) ([]config.Record, error) {
	if raw[0] == '[' {
		var list []config.Record
		return list, decodeStrict(raw, &list)
	}
	var list recordList
	if err := decodeStrict(raw, &list); err == nil {
		return list.Records, nil
	}
	var record config.Record
	err := decodeStrict(raw, &record)
	return []config.Record{record}, err
}

// setDefaultSchemaVersions sets the schema version of records that have none to the
// highest known one.
func setDefaultSchemaVersions(records []config.Record) []config.Record {
	for i := range records {
		if records[i].SchemaVersion == 0 {
			records[i].SchemaVersion = config.MaxSchema
		}
	}
	return records
}

// decodeStrict decodes raw into v and rejects unknown fields.
func decodeStrict(raw json.RawMessage, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	return decoder.Decode(v)
}
