package ctl

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/config"
)

// specFields holds the fields of a spec as JSON, including those that this version does
// not know.
type specFields map[string]json.RawMessage

// specFlags collects the fields of a spec that flags set.
type specFlags struct {
	kind    config.Kind
	setters []func(specFields) error
}

// addField registers a field, which is set to value() if isSet is true after parsing.
func addField[T any](s *specFlags, field string, isSet *bool, value func() (T, error)) {
	s.setters = append(s.setters, func(fields specFields) error {
		if !*isSet {
			return nil
		}
		v, err := value()
		if err != nil {
			return err
		}
		data, err := json.Marshal(v)
		fields[field] = data
		return err
	})
}

// merge returns oldSpec, which may be nil, with the fields of the command line replaced.
func (s *specFlags) merge(oldSpec json.RawMessage) (json.RawMessage, error) {
	fields := specFields{}
	if len(oldSpec) > 0 {
		if err := json.Unmarshal(oldSpec, &fields); err != nil {
			return nil, fmt.Errorf("decode the current spec: %w", err)
		}
	}
	for _, set := range s.setters {
		if err := set(fields); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// deref returns a function that reads *v, which is filled when the command line is parsed.
func deref[T any](v *T) func() (T, error) {
	return func() (T, error) { return *v, nil }
}

func (s *specFlags) addText(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	value := clause.Flag(flag, help).IsSetByUser(&isSet).String()
	addField(s, field, &isSet, deref(value))
}

func (s *specFlags) addBool(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	value := clause.Flag(flag, help).IsSetByUser(&isSet).Bool()
	addField(s, field, &isSet, deref(value))
}

func (s *specFlags) addInt64(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	value := clause.Flag(flag, help).IsSetByUser(&isSet).Int64()
	addField(s, field, &isSet, deref(value))
}

func (s *specFlags) addMilliseconds(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	value := clause.Flag(flag, help).IsSetByUser(&isSet).Duration()
	addField(s, field, &isSet, func() (int64, error) {
		if *value%time.Millisecond != 0 {
			return 0, usageError("--%s: %s is not a whole number of milliseconds", flag, *value)
		}
		return value.Milliseconds(), nil
	})
}

// addList adds a field that holds names. The flag may be repeated, and its values may be
// separated by commas.
func (s *specFlags) addList(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	values := clause.Flag(flag, help).IsSetByUser(&isSet).Strings()
	addField(s, field, &isSet, func() ([]string, error) {
		var names []string
		for _, name := range strings.Split(strings.Join(*values, ","), ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, name)
			}
		}
		return names, nil
	})
}

// addMethods adds the field that lists the methods of a plain service.
func (s *specFlags) addMethods(clause *kingpin.CmdClause) {
	var isSet bool
	values := clause.Flag("method", `Method of a plain service, as "METHOD PATH[,repeatable][,tokens=N]"; may be repeated.`).
		IsSetByUser(&isSet).Strings()
	addField(s, "methods", &isSet, func() ([]config.MethodSpec, error) {
		methods := make([]config.MethodSpec, len(*values))
		for i, text := range *values {
			method, err := parseMethod(text)
			if err != nil {
				return nil, err
			}
			methods[i] = method
		}
		return methods, nil
	})
}

// parseMethod parses "METHOD PATH[,repeatable][,tokens=N]".
func parseMethod(text string) (config.MethodSpec, error) {
	parts := strings.Split(text, ",")
	method, path, found := strings.Cut(strings.TrimSpace(parts[0]), " ")
	path = strings.TrimSpace(path)
	if !found || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
		return config.MethodSpec{}, usageError(`--method: %q is not "METHOD /PATH"`, parts[0])
	}
	spec := config.MethodSpec{Method: method, Path: path}
	for _, option := range parts[1:] {
		option = strings.TrimSpace(option)
		count, isTokens := strings.CutPrefix(option, "tokens=")
		tokens, err := strconv.ParseInt(count, 10, 64)
		switch {
		case option == "repeatable":
			spec.Repeatable = true
		case isTokens && err == nil && tokens >= 0:
			spec.Tokens = tokens
		default:
			return config.MethodSpec{}, usageError(`--method: %q is neither "repeatable" nor "tokens=N"`, option)
		}
	}
	return spec, nil
}

// newSpecFlags adds flags for the fields of a spec of the given kind to clause.
func newSpecFlags(clause *kingpin.CmdClause, kind config.Kind) *specFlags {
	s := &specFlags{kind: kind}
	switch kind {
	case config.KindOrganisation:
		s.addText(clause, "display-name", "display_name", "Human-readable name.")
		s.addBool(clause, "disabled", "disabled", "Refuse all requests of the organisation's callers.")
	case config.KindCaller:
		s.addText(clause, "organisation", "organisation", "Organisation of the caller.")
		s.addText(clause, "class", "class", "Priority class of the caller's requests.")
		s.addText(clause, "budget", "budget", "Budget that pays for the caller's requests.")
		s.addInt64(clause, "max-concurrent", "max_concurrent", "Maximum number of the caller's in-flight requests on one host.")
	case config.KindBudget:
		s.addText(clause, "organisation", "organisation", "Organisation that the budget belongs to.")
	case config.KindClass:
		s.addInt64(clause, "worth", "worth", "Requests of higher worth are served first.")
		s.addMilliseconds(clause, "deadline", "deadline_ms", "Longest time from arrival to the first byte of the answer.")
		s.addInt64(clause, "queue-limit", "queue_limit", "Maximum number of queued requests of the class on one host.")
	case config.KindPolicy:
		s.addText(clause, "organisation", "organisation", `Organisation that is allowed; "*" for all.`)
		s.addList(clause, "services", "services", `Services that are allowed, separated by commas; "*" for all.`)
		s.addList(clause, "upstreams", "upstreams", "Patterns of upstream ids that may serve, separated by commas.")
		s.addList(clause, "zones", "zones", "Availability zones of the upstreams, separated by commas. Default: any.")
	case config.KindService:
		s.addText(clause, "kind", "kind", "model or plain.")
		s.addInt64(clause, "max-output-tokens", "max_output_tokens", "Output limit of a model request that sets none.")
		s.addMethods(clause)
	}
	return s
}
