package catalog_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/catalog"
)

func validDocument() *catalog.Document {
	prepaid := int64(1000)
	return &catalog.Document{
		Version: 3,
		Routes: []catalog.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: catalog.Idempotent, Timeout: time.Second,
				Targets: []catalog.Target{{Service: "plain", Weight: 1}}, MaxAttempts: 2},
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: catalog.Streaming, Timeout: time.Second,
				Targets: []catalog.Target{{Service: "engine", Weight: 9}, {Service: "plain", Weight: 0}}, Resumable: true},
		},
		Services:      []catalog.Service{{Name: "plain"}, {Name: "engine", Engine: &catalog.Engine{Slots: 4}}},
		Organisations: []catalog.Organisation{{Name: "north", Keys: []string{"k1", "k2"}, Prepaid: &prepaid}, {Name: "south", Keys: []string{"k3"}}},
	}
}

func TestValidDocument(t *testing.T) {
	NewWithT(t).Expect(validDocument().Validate()).To(Succeed())
}

func TestInvalidDocuments(t *testing.T) {
	negative := int64(-1)
	for want, invalidate := range map[string]func(d *catalog.Document){
		"version is missing":      func(d *catalog.Document) { d.Version = 0 },
		"is unknown":              func(d *catalog.Document) { d.Routes[0].Targets[0].Service = "other" },
		"same host and prefix":    func(d *catalog.Document) { d.Routes[1].Prefix = "/" },
		"weights add up to 0":     func(d *catalog.Document) { d.Routes[0].Targets[0].Weight = 0 },
		"weight of service":       func(d *catalog.Document) { d.Routes[1].Targets[1].Weight = -1 },
		"no service is named":     func(d *catalog.Document) { d.Routes[0].Targets = nil },
		"timeout is not above 0":  func(d *catalog.Document) { d.Routes[0].Timeout = 0 },
		"begin and end":           func(d *catalog.Document) { d.Routes[0].Prefix = "/chat" },
		"kind is unknown":         func(d *catalog.Document) { d.Routes[0].Kind = 0 },
		"host is missing":         func(d *catalog.Document) { d.Routes[0].Host = "" },
		"name is missing":         func(d *catalog.Document) { d.Routes[0].Name = "" },
		"number of attempts":      func(d *catalog.Document) { d.Routes[0].MaxAttempts = -1 },
		"service has no name":     func(d *catalog.Document) { d.Services[0].Name = "" },
		"is listed twice":         func(d *catalog.Document) { d.Services[1].Name = "plain" },
		"organisation has no":     func(d *catalog.Document) { d.Organisations[0].Name = "" },
		"\"north\" is listed":     func(d *catalog.Document) { d.Organisations[1].Name = "north" },
		"share a key":             func(d *catalog.Document) { d.Organisations[1].Keys = []string{"k2"} },
		"prepaid total of organi": func(d *catalog.Document) { d.Organisations[0].Prepaid = &negative },
	} {
		t.Run(want, func(t *testing.T) {
			d := validDocument()
			invalidate(d)
			NewWithT(t).Expect(d.Validate()).To(MatchError(ContainSubstring(want)))
		})
	}
}

func TestRouteHasLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	x := catalog.NewIndex(validDocument())
	for path, want := range map[string]string{"/": "all", "/chat": "all", "/chat/": "chat", "/chat/1/2": "chat", "/chats/": "all"} {
		g.Expect(x.Route("a.example", path)).To(HaveField("Name", want), path)
	}
	g.Expect(x.Route("b.example", "/chat/")).To(BeNil())
	g.Expect(x.Route("a.example", "chat")).To(BeNil())
}

func TestIndexLookups(t *testing.T) {
	g := NewWithT(t)
	x := catalog.NewIndex(validDocument())
	g.Expect(x.Organisation("k2")).To(HaveField("Name", "north"))
	g.Expect(x.Organisation("")).To(BeNil())
	g.Expect(x.Service("engine").Engine.Slots).To(Equal(4))
	g.Expect(x.Service("none")).To(BeNil())
	g.Expect(x.RequiresKeys()).To(BeTrue())
}

func TestRouteRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&catalog.Route{Kind: catalog.Idempotent}).Repeatable()).To(BeTrue())
	g.Expect((&catalog.Route{Kind: catalog.NonIdempotent, Resumable: true}).Repeatable()).To(BeFalse())
	g.Expect((&catalog.Route{Kind: catalog.Streaming}).Repeatable()).To(BeFalse())
	g.Expect((&catalog.Route{Kind: catalog.Streaming, Resumable: true}).Repeatable()).To(BeTrue())
}
