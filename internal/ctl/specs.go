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

// specFields are the fields of a spec as JSON, among them fields that this version
// does not know.
type specFields map[string]json.RawMessage

// specFlags collects the fields of a spec that the command line sets.
type specFlags struct {
	kind   config.Kind
	values []func(specFields) error
}

// set adds a field whose flag is given, or has a default.
func set[T any](s *specFlags, field string, isSet *bool, value func() (T, error)) {
	s.values = append(s.values, func(fields specFields) error {
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

// merge writes the fields of the command line over those of old, which may be nil.
func (s *specFlags) merge(old json.RawMessage) (json.RawMessage, error) {
	fields := specFields{}
	if len(old) > 0 {
		if err := json.Unmarshal(old, &fields); err != nil {
			return nil, fmt.Errorf("present spec: %w", err)
		}
	}
	for _, value := range s.values {
		if err := value(fields); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

func plain[T any](v *T) func() (T, error) {
	return func() (T, error) { return *v, nil }
}

func (s *specFlags) text(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	value := clause.Flag(flag, help).IsSetByUser(&isSet).String()
	set(s, field, &isSet, plain(value))
}

func (s *specFlags) boolean(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	value := clause.Flag(flag, help).IsSetByUser(&isSet).Bool()
	set(s, field, &isSet, plain(value))
}

func (s *specFlags) number(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	value := clause.Flag(flag, help).IsSetByUser(&isSet).Int64()
	set(s, field, &isSet, plain(value))
}

func (s *specFlags) milliseconds(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	value := clause.Flag(flag, help).IsSetByUser(&isSet).Duration()
	set(s, field, &isSet, func() (int64, error) {
		if *value%time.Millisecond != 0 {
			return 0, invalid("--%s: %s is no whole number of milliseconds", flag, *value)
		}
		return value.Milliseconds(), nil
	})
}

// list adds a field that holds names, which the flag takes with commas or repeated.
func (s *specFlags) list(clause *kingpin.CmdClause, flag, field, help string) {
	var isSet bool
	values := clause.Flag(flag, help).IsSetByUser(&isSet).Strings()
	set(s, field, &isSet, func() ([]string, error) {
		var names []string
		for _, name := range strings.Split(strings.Join(*values, ","), ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, name)
			}
		}
		return names, nil
	})
}

// methods adds the field of the calls of a plain service.
func (s *specFlags) methods(clause *kingpin.CmdClause) {
	var isSet bool
	values := clause.Flag("method", `Call of a plain service, as "METHOD PATH[,repeatable][,tokens=N]"; may be repeated.`).
		IsSetByUser(&isSet).Strings()
	set(s, "methods", &isSet, func() ([]config.MethodSpec, error) {
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

// parseMethod reads "METHOD PATH[,repeatable][,tokens=N]".
func parseMethod(text string) (config.MethodSpec, error) {
	parts := strings.Split(text, ",")
	method, path, found := strings.Cut(strings.TrimSpace(parts[0]), " ")
	path = strings.TrimSpace(path)
	if !found || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
		return config.MethodSpec{}, invalid(`--method: %q is not "METHOD /PATH"`, parts[0])
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
			return config.MethodSpec{}, invalid(`--method: %q is neither "repeatable" nor "tokens=N"`, option)
		}
	}
	return spec, nil
}

// newSpecFlags adds the flags of the spec of kind to clause.
func newSpecFlags(clause *kingpin.CmdClause, kind config.Kind) *specFlags {
	s := &specFlags{kind: kind}
	switch kind {
	case config.KindOrganisation:
		s.text(clause, "display-name", "display_name", "Name for people.")
		s.boolean(clause, "disabled", "disabled", "Refuse all work of the organisation's callers.")
	case config.KindCaller:
		s.text(clause, "organisation", "organisation", "Organisation of the caller.")
		s.text(clause, "class", "class", "Priority class of the caller's requests.")
		s.text(clause, "budget", "budget", "Budget that pays for the caller's requests.")
		s.number(clause, "max-concurrent", "max_concurrent", "Bound of the caller's open requests on one host.")
	case config.KindBudget:
		s.text(clause, "organisation", "organisation", "Organisation that the budget belongs to.")
	case config.KindClass:
		s.number(clause, "worth", "worth", "Work of higher worth goes first.")
		s.milliseconds(clause, "deadline", "deadline_ms", "Longest time from arrival to the first byte of the answer.")
		s.number(clause, "queue-limit", "queue_limit", "Bound of the waiting requests of the class on one host.")
	case config.KindPolicy:
		s.text(clause, "organisation", "organisation", `Organisation that is allowed; "*" for all.`)
		s.list(clause, "services", "services", `Services that are allowed, with commas; "*" for all.`)
		s.list(clause, "upstreams", "upstreams", "Patterns of upstream ids that may serve, with commas.")
		s.list(clause, "zones", "zones", "Availability zones of the upstreams, with commas. Default: any.")
	case config.KindService:
		s.text(clause, "kind", "kind", "model or plain.")
		s.number(clause, "max-output-tokens", "max_output_tokens", "Output limit of a model request that states none.")
		s.methods(clause)
	}
	return s
}
