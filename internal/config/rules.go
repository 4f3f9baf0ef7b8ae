package config

import (
	"maps"
	"path"
	"slices"
	"strings"
)

// rule is a policy compiled for matching.
type rule struct {
	allServices bool
	services    []string
	upstreams   []pattern
	zones       []string
}

// patternMetacharacters are the characters that path.Match does not match literally.
const patternMetacharacters = `*?[\`

// pattern matches upstream ids as path.Match does. The two common forms, a literal id
// and a prefix followed by "*", are matched without a call of path.Match.
type pattern struct {
	text string
	// literal is text without a final "*". It is the id or the prefix if isSimple.
	literal string
	// isSimple means that literal contains no metacharacters.
	isSimple bool
	// isPrefix means that text ends in "*".
	isPrefix bool
}

func compilePattern(text string) pattern {
	literal, isPrefix := strings.CutSuffix(text, "*")
	return pattern{text: text, literal: literal, isSimple: !strings.ContainsAny(literal, patternMetacharacters), isPrefix: isPrefix}
}

func (p *pattern) match(upstream string) bool {
	if !p.isSimple {
		matched, err := path.Match(p.text, upstream)
		return err == nil && matched
	}
	if !p.isPrefix {
		return upstream == p.literal
	}
	return strings.HasPrefix(upstream, p.literal) && strings.IndexByte(upstream[len(p.literal):], '/') < 0
}

// compileRules returns the rules of each organisation, ordered by the names of the
// policies.
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

// Filter determines which upstreams may serve an organisation's requests to a service.
type Filter struct {
	rules []rule
}

// Filter returns the filter of organisation and service. It is computed once per
// request and then evaluated for each upstream.
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

// Empty reports whether no upstream is allowed.
func (f Filter) Empty() bool { return len(f.rules) == 0 }

// Allows reports whether the upstream in zone may serve the requests.
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

// Allowed reports whether a policy allows organisation to use service on the upstream
// in zone.
func (v *View) Allowed(organisation, service, upstream, zone string) bool {
	return v.Filter(organisation, service).Allows(upstream, zone)
}
