package operatorapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/ingress"
)

// Limits on input.
const (
	maxBodyBytes        = 4 << 20
	maxWrites           = 1000
	maxNameBytes        = 253
	maxOperationIDBytes = 128
)

// conflictError is a revision conflict, with the current record.
type conflictError struct {
	cause  *errkind.Error
	winner *config.Record
}

// Error implements error.
func (e *conflictError) Error() string { return e.cause.Error() }

// Unwrap returns the error with its kind.
func (e *conflictError) Unwrap() error { return e.cause }

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		klog.ErrorS(err, "encoding an operator API response failed")
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeError(w http.ResponseWriter, err error) {
	listed := errkind.From(err)
	reply := ErrorReply{Error: listed.Body()}
	var conflict *conflictError
	if errors.As(err, &conflict) {
		reply.Winner = conflict.winner
	}
	data, _ := json.Marshal(reply)
	listed.WriteHeader(w)
	_, _ = w.Write(append(data, '\n'))
}

// decode reads the JSON body of a call into v. It refuses unknown fields and data
// after the JSON value.
func decode(r *call, v any) error {
	body, err := ingress.ReadBody(r.Request, maxBodyBytes, 0)
	if errors.Is(err, ingress.ErrBodyTooLarge) {
		return errkind.New(errkind.BodyTooLarge, "the request body exceeds %d bytes", maxBodyBytes)
	}
	var known *errkind.Error
	if errors.As(err, &known) {
		return known
	}
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "read the request body: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(v)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("unexpected data after the JSON value")
		}
	}
	return errkind.New(errkind.InvalidRequest, "invalid request body: %v", err)
}

func checkName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errkind.New(errkind.InvalidRequest, "a name must have 1 to %d bytes", maxNameBytes)
	}
	return nil
}

func checkOperationID(id string) error {
	if id == "" || len(id) > maxOperationIDBytes {
		return errkind.New(errkind.InvalidRequest, "operation_id must have 1 to %d bytes", maxOperationIDBytes)
	}
	return nil
}

// queryUint returns an unsigned integer of the query string, or nil if it is absent.
func queryUint(r *call, name string) (*uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return nil, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "%s: %q is not an unsigned integer", name, text)
	}
	return &n, nil
}
