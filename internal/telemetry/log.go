// Package telemetry sets up the logging, metrics and health endpoints of a process.
package telemetry

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Field names shared by log lines of all packages.
const (
	FieldHost         = "host"
	FieldRequestID    = "request_id"
	FieldOrganisation = "organisation"
	FieldCaller       = "caller"
	FieldUpstream     = "upstream"
	FieldKind         = "kind"
)

// redactedValue replaces a value that must not be logged.
const redactedValue = "[redacted]"

// debugVerbosity is the klog verbosity at the log level "debug".
const debugVerbosity = 4

// sensitiveFields are the names of log fields that hold keys, prompts or answers.
var sensitiveFields = map[string]bool{
	"key": true, "authorization": true, "prompt": true, "body": true, "messages": true, "answer": true,
}

// SetupLog makes klog, slog and the standard library's log write JSON lines to w, each
// with the name of the host. level, the minimum level, is "debug", "info", "warning"
// or "error".
func SetupLog(w io.Writer, level, host string) error {
	minLevel, verbosity, err := parseLevel(level)
	if err != nil {
		return err
	}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		return eris.Wrap(err, "set the log verbosity")
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel, ReplaceAttr: redact})
	logger := slog.New(handler).With(FieldHost, host)
	klog.SetSlogLogger(logger)
	slog.SetDefault(logger)
	return nil
}

// RequestLogger returns a logger that adds a request id and organisation to each line.
func RequestLogger(requestID, organisation string) klog.Logger {
	return klog.Background().WithValues(FieldRequestID, requestID, FieldOrganisation, organisation)
}

// Warn logs a line at the level "warning", which klog lacks for lines with fields.
func Warn(message string, fields ...any) { slog.Warn(message, fields...) }

func parseLevel(level string) (slog.Level, int, error) {
	switch level {
	case "debug":
		return slog.Level(-debugVerbosity), debugVerbosity, nil
	case "info":
		return slog.LevelInfo, 0, nil
	case "warning":
		return slog.LevelWarn, 0, nil
	case "error":
		return slog.LevelError, 0, nil
	default:
		return 0, 0, eris.Errorf("unknown log level %q", level)
	}
}

// redact replaces the values of sensitive fields.
func redact(_ []string, a slog.Attr) slog.Attr {
	if sensitiveFields[a.Key] {
		return slog.String(a.Key, redactedValue)
	}
	return a
}
