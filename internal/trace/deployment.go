// Package trace describes the workloads of the two deployments: their organisations,
// classes and services. It generates arrivals from a seed, and reads and writes traces
// as JSON lines.
package trace

import "github.com/godwitbend/godwitbend/internal/config"

// Names of the deployments.
const (
	Heraut   = "heraut"
	Carvalho = "carvalho"
)

// Deployment describes the deployment of one user at its actual size.
type Deployment struct {
	Name string
	// Model is served by Engines engines, and Service by Replicas replicas, across Zones
	// availability zones.
	Model    string
	Service  string
	Engines  int
	Replicas int
	Zones    int
	// Organisations are in descending order of size; OrganisationShares are their shares of the
	// arrivals, in percent.
	Organisations      []string
	OrganisationShares []int
	Classes            []Class
	Methods            []config.MethodSpec
	// PrefixBytes is the length of the prompt prefix that the requests of an organisation share.
	PrefixBytes int
}

// Class is a class of requests, with the specification of its priority class.
type Class struct {
	Name string
	Spec config.ClassSpec
	// Share is the share of the arrivals, in percent.
	Share int
	// Chat requests have a prompt of TextBytes, which follows the shared prefix if SharedPrefix
	// is set, and an output limit of MaxTokens.
	Chat         bool
	SharedPrefix bool
	TextBytes    intRange
	MaxTokens    intRange
	// Calls are the calls of a plain service, chosen with equal probability; {organisation} in
	// a path is replaced.
	Calls []Endpoint
}

// Endpoint is one endpoint of a plain service.
type Endpoint struct {
	Method string
	Path   string
}

// intRange is an inclusive range of integers.
type intRange struct{ low, high int }

// organisationShares are the shares of ten organisations in percent, of which three are large.
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
		OrganisationShares: organisationShares,
		Classes: []Class{
			{
				Name:  "booking",
				Spec:  config.ClassSpec{Worth: 100, DeadlineMS: 5_000, QueueLimit: 200},
				Share: 25,
				Calls: []Endpoint{{"POST", "/bookings"}, {"GET", "/diary"}},
			},
			{
				Name:         "draft",
				Spec:         config.ClassSpec{Worth: 80, DeadlineMS: 20_000, QueueLimit: 200},
				Share:        20,
				Chat:         true,
				SharedPrefix: true,
				TextBytes:    intRange{1500, 3000},
				MaxTokens:    intRange{120, 240},
			},
			{
				Name:         "announcement",
				Spec:         config.ClassSpec{Worth: 50, DeadlineMS: 10_000, QueueLimit: 200},
				Share:        25,
				Chat:         true,
				SharedPrefix: true,
				TextBytes:    intRange{200, 500},
				MaxTokens:    intRange{40, 80},
			},
			{
				Name:      "question",
				Spec:      config.ClassSpec{Worth: 20, DeadlineMS: 10_000, QueueLimit: 200},
				Share:     30,
				Chat:      true,
				TextBytes: intRange{60, 200},
				MaxTokens: intRange{20, 60},
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
		OrganisationShares: organisationShares,
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
				Name:         "description",
				Spec:         config.ClassSpec{Worth: 60, DeadlineMS: 10_000, QueueLimit: 200},
				Share:        50,
				Chat:         true,
				SharedPrefix: true,
				TextBytes:    intRange{80, 300},
				MaxTokens:    intRange{30, 80},
			},
			{
				Name:         "review",
				Spec:         config.ClassSpec{Worth: 10, DeadlineMS: 60_000, QueueLimit: 200},
				Share:        10,
				Chat:         true,
				SharedPrefix: true,
				TextBytes:    intRange{10_000, 30_000},
				MaxTokens:    intRange{200, 400},
			},
		},
		Methods: []config.MethodSpec{
			{Method: "POST", Path: "/series/*/next", Tokens: 5},
			{Method: "GET", Path: "/series/*", Repeatable: true, Tokens: 1},
		},
		PrefixBytes: 2048,
	}
}
