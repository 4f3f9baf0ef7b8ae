// Package trace holds the workloads of the two deployments: their
// organisations, classes and services, a seeded generator of arrivals, and the
// recorded traces as JSON lines.
package trace

import "github.com/godwitbend/godwitbend/internal/config"

// Names of the deployments.
const (
	Heraut   = "heraut"
	Carvalho = "carvalho"
)

// Deployment describes one user's deployment at its size of today.
type Deployment struct {
	Name string
	// Model is served by Engines engines, Service by Replicas replicas, over Zones availability zones.
	Model    string
	Service  string
	Engines  int
	Replicas int
	Zones    int
	// Organisations are in order of size; Shares are their parts of the work, in percent.
	Organisations []string
	Shares        []int
	Classes       []Class
	Methods       []config.MethodSpec
	// PrefixBytes is the length of the text that an organisation's drafts share.
	PrefixBytes int
}

// Class is one kind of work and its priority class.
type Class struct {
	Name string
	Spec config.ClassSpec
	// Share is its part of the arrivals, in percent.
	Share int
	// Chat work has a text of TextBytes after the shared prefix, if Shared, and an output limit.
	Chat      bool
	Shared    bool
	TextBytes span
	MaxTokens span
	// Calls are the calls of plain work, chosen alike; a path may hold {organisation}.
	Calls []Endpoint
}

// Endpoint is one call of a plain service.
type Endpoint struct {
	Method string
	Path   string
}

// span is a range of whole numbers, both ends included.
type span struct{ low, high int }

// organisationShares are the parts of ten organisations, of which three are large.
var organisationShares = []int{30, 22, 16, 6, 6, 5, 5, 4, 3, 3}

// Find returns the deployment of the given name, or nil.
func Find(name string) *Deployment {
	switch name {
	case Heraut:
		return heraut()
	case Carvalho:
		return carvalho()
	default:
		return nil
	}
}

func heraut() *Deployment {
	return &Deployment{
		Name:     Heraut,
		Model:    "proclamation",
		Service:  "booking",
		Engines:  10,
		Replicas: 4,
		Zones:    4,
		Organisations: []string{
			"gent", "antwerpen", "brugge", "leuven", "mechelen",
			"hasselt", "kortrijk", "aalst", "oostende", "dendermonde",
		},
		Shares: organisationShares,
		Classes: []Class{
			{
				Name:  "booking",
				Spec:  config.ClassSpec{Worth: 100, DeadlineMS: 5_000, QueueLimit: 200},
				Share: 25,
				Calls: []Endpoint{{"POST", "/bookings"}, {"GET", "/diary"}},
			},
			{
				Name:      "draft",
				Spec:      config.ClassSpec{Worth: 80, DeadlineMS: 20_000, QueueLimit: 200},
				Share:     20,
				Chat:      true,
				Shared:    true,
				TextBytes: span{1500, 3000},
				MaxTokens: span{120, 240},
			},
			{
				Name:      "announcement",
				Spec:      config.ClassSpec{Worth: 50, DeadlineMS: 10_000, QueueLimit: 200},
				Share:     25,
				Chat:      true,
				Shared:    true,
				TextBytes: span{200, 500},
				MaxTokens: span{40, 80},
			},
			{
				Name:      "question",
				Spec:      config.ClassSpec{Worth: 20, DeadlineMS: 10_000, QueueLimit: 200},
				Share:     30,
				Chat:      true,
				TextBytes: span{60, 200},
				MaxTokens: span{20, 60},
			},
		},
		Methods: []config.MethodSpec{
			{Method: "POST", Path: "/bookings", Tokens: 10},
			{Method: "GET", Path: "/diary", Repeatable: true, Tokens: 1},
		},
		PrefixBytes: 8192,
	}
}

func carvalho() *Deployment {
	return &Deployment{
		Name:     Carvalho,
		Model:    "assistant",
		Service:  "numbering",
		Engines:  10,
		Replicas: 4,
		Zones:    4,
		Organisations: []string{
			"padaria", "mercearia", "canalizador", "talho", "florista",
			"oficina", "armazem", "livraria", "sapataria", "drogaria",
		},
		Shares: organisationShares,
		Classes: []Class{
			{
				Name:  "number",
				Spec:  config.ClassSpec{Worth: 100, DeadlineMS: 5_000, QueueLimit: 200},
				Share: 40,
				Calls: []Endpoint{
					{"POST", "/series/{organisation}/next"},
					{"POST", "/series/{organisation}/next"},
					{"GET", "/series/{organisation}"},
				},
			},
			{
				Name:      "description",
				Spec:      config.ClassSpec{Worth: 60, DeadlineMS: 10_000, QueueLimit: 200},
				Share:     50,
				Chat:      true,
				Shared:    true,
				TextBytes: span{80, 300},
				MaxTokens: span{30, 80},
			},
			{
				Name:      "review",
				Spec:      config.ClassSpec{Worth: 10, DeadlineMS: 60_000, QueueLimit: 200},
				Share:     10,
				Chat:      true,
				Shared:    true,
				TextBytes: span{10_000, 30_000},
				MaxTokens: span{200, 400},
			},
		},
		Methods: []config.MethodSpec{
			{Method: "POST", Path: "/series/*/next", Tokens: 5},
			{Method: "GET", Path: "/series/*", Repeatable: true, Tokens: 1},
		},
		PrefixBytes: 2048,
	}
}
