// Package telemetry sets up the log, the metrics and the health pages of a process.
package telemetry

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Names of the fields that log lines share.
const (
	FieldHost         = "host"
	FieldRequestID    = "request_id"
	FieldOrganisation = "organisation"
	FieldCaller       = "caller"
	FieldUpstream     = "upstream"
	FieldKind         = "kind"
)

// redacted stands for a value that may not be logged.
const redacted = "[redacted]"

// debugVerbosity is the klog verbosity of the level "debug".
const debugVerbosity = 4

// secretFields are names of fields that hold keys, prompts or answers.
var secretFields = map[string]bool{
	"key": true, "authorization": true, "prompt": true, "body": true, "messages": true, "answer": true,
}

// SetupLog makes klog, slog and the standard library's log write JSON lines to w
// from level on ("debug", "info", "warning" or "error"), each with the name of the host.
func SetupLog(w io.Writer, level, host string) error {
	least, verbosity, err := parseLevel(level)
	if err != nil {
		return err
	}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		return eris.Wrap(err, "set the verbosity of the log")
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: least, ReplaceAttr: redact})
	logger := slog.New(handler).With(FieldHost, host)
	klog.SetSlogLogger(logger)
	slog.SetDefault(logger)
	return nil
}

// RequestLogger returns a logger whose lines name a request and its organisation.
func RequestLogger(requestID, organisation string) klog.Logger {
	return klog.Background().WithValues(FieldRequestID, requestID, FieldOrganisation, organisation)
}

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

func redact(_ []string, a slog.Attr) slog.Attr {
	if secretFields[a.Key] {
		return slog.String(a.Key, redacted)
	}
	return a
}
