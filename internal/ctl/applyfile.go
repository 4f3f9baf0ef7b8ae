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

// recordList is a file of the form {"records": […]}.
type recordList struct {
	Records []config.Record `json:"records"`
}

// applyFile writes the records of a file. A record that states no revision replaces
// the revision that is read just before.
func (c *command) applyFile(ctx context.Context, cl *client, path string) error {
	data, err := c.readFile(path)
	if err != nil {
		return err
	}
	records, err := parseRecords(data)
	if err != nil {
		return invalid("%s: %v", path, err)
	}
	if done, err := c.earlier(ctx, cl); done != nil || err != nil {
		return c.changed(done, err, "")
	}
	var present operatorapi.RecordsReply
	if err := cl.call(ctx, "GET", operatorapi.PathRecords, nil, &present); err != nil {
		return err
	}
	request := operatorapi.ApplyRequest{OperationID: c.id(), Writes: writes(records, present.Records)}
	done, err := cl.change(ctx, "POST", operatorapi.PathApply, request, !c.noWait)
	return c.changed(done, err, "")
}

// readFile reads a file, or the standard input for "-", which kingpin hands on as "".
func (c *command) readFile(path string) ([]byte, error) {
	if path == "-" || path == "" {
		return io.ReadAll(c.Stdin)
	}
	return os.ReadFile(path)
}

// recordName identifies a record.
type recordName struct {
	kind config.Kind
	name string
}

func writes(records, present []config.Record) []operatorapi.Write {
	revisions := make(map[recordName]uint64, len(present))
	for _, r := range present {
		revisions[recordName{r.Kind, r.Name}] = r.Revision
	}
	list := make([]operatorapi.Write, len(records))
	for i, record := range records {
		revision := record.Revision
		if revision == 0 {
			revision = revisions[recordName{record.Kind, record.Name}]
		}
		record.Revision = 0
		list[i] = operatorapi.Write{Record: record, IfRevision: &revision}
	}
	return list
}

// parseRecords reads one record, an array, several values, or a recordList.
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
		more, err := parseValue(raw)
		if err != nil {
			return nil, err
		}
		records = append(records, more...)
	}
	if len(records) == 0 {
		return nil, errors.New("holds no record")
	}
	return fillVersions(records), nil
}

func parseValue(raw json.RawMessage) ([]config.Record, error) {
	if raw[0] == '[' {
		var list []config.Record
		return list, strict(raw, &list)
	}
	var list recordList
	if err := strict(raw, &list); err == nil {
		return list.Records, nil
	}
	var record config.Record
	err := strict(raw, &record)
	return []config.Record{record}, err
}

// fillVersions sets the schema version of records that state none.
func fillVersions(records []config.Record) []config.Record {
	for i := range records {
		if records[i].SchemaVersion == 0 {
			records[i].SchemaVersion = config.MaxSchema
		}
	}
	return records
}

// strict decodes raw into v and refuses unknown fields.
func strict(raw json.RawMessage, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	return decoder.Decode(v)
}
