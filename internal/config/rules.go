package config

import (
	"maps"
	"path"
	"slices"
	"strings"
)

// rule is a policy made ready for matching.
type rule struct {
	allServices bool
	services    []string
	upstreams   []pattern
	zones       []string
}

// special are the characters that path.Match does not take as they are.
const special = `*?[\`

// pattern matches upstream ids as path.Match does. The two common forms, a
// plain id and a prefix with "*" behind it, are matched without it.
type pattern struct {
	text string
	// plain is the id, or the prefix, if there is no other special character.
	plain    string
	isPlain  bool
	isPrefix bool
}

func compilePattern(text string) pattern {
	plain, isPrefix := strings.CutSuffix(text, "*")
	return pattern{text: text, plain: plain, isPlain: !strings.ContainsAny(plain, special), isPrefix: isPrefix}
}

func (p *pattern) match(upstream string) bool {
	if !p.isPlain {
		matched, err := path.Match(p.text, upstream)
		return err == nil && matched
	}
	if !p.isPrefix {
		return upstream == p.plain
	}
	return strings.HasPrefix(upstream, p.plain) && strings.IndexByte(upstream[len(p.plain):], '/') < 0
}

// compileRules returns the rules of each organisation, in the order of the policies' names.
func compileRules(policies map[string]*PolicySpec) map[string][]rule {
	rules := make(map[string][]rule)
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		spec := policies[name]
		rules[spec.Organisation] = append(rules[spec.Organisation], compileRule(spec))
	}
	return rules
}

func compileRule(spec *PolicySpec) rule {
	r := rule{
		allServices: slices.Contains(spec.Services, Wildcard),
		services:    spec.Services,
		zones:       spec.Zones,
	}
	for _, text := range spec.Upstreams {
		r.upstreams = append(r.upstreams, compilePattern(text))
	}
	return r
}

// Filter tells which upstreams may serve one organisation's requests to one service.
type Filter struct {
	rules []rule
}

// Filter returns the filter of organisation and service. It is worked out once
// per request and then asked for each upstream.
func (v *View) Filter(organisation, service string) Filter {
	var f Filter
	for _, rules := range [][]rule{v.rules[organisation], v.rules[Wildcard]} {
		for _, r := range rules {
			if r.allServices || slices.Contains(r.services, service) {
				f.rules = append(f.rules, r)
			}
		}
	}
	return f
}

// Empty tells that no upstream at all is allowed.
func (f Filter) Empty() bool { return len(f.rules) == 0 }

// Allows tells whether the upstream in zone may serve the work.
func (f Filter) Allows(upstream, zone string) bool {
	for i := range f.rules {
		r := &f.rules[i]
		if len(r.zones) > 0 && !slices.Contains(r.zones, zone) {
			continue
		}
		for j := range r.upstreams {
			if r.upstreams[j].match(upstream) {
				return true
			}
		}
	}
	return false
}

// Allowed tells whether a policy lets organisation use service on the upstream in zone.
func (v *View) Allowed(organisation, service, upstream, zone string) bool {
	return v.Filter(organisation, service).Allows(upstream, zone)
}
