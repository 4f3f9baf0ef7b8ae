package failure_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
)

// TestStandinDrainsAndExitsZero stops an engine during a request: it completes the
// request, records it as finished and exits without error.
func TestStandinDrainsAndExitsZero(t *testing.T) {
	skipIfShort(t)
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet, err := harness.NewFleet(harness.FleetOptions{Bin: bin, Dir: t.TempDir(), Subnet: subnet()})
	g.Expect(err).NotTo(HaveOccurred())
	defer fleet.Kill()
	u, err := fleet.StartUpstream(harness.UpstreamOptions{
		Kind: "engine", ID: "engine-1", Zone: "z1",
		Flags: []string{"--model", "m", "--leave-grace", "0s", "--token-time", "20ms"},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(harness.Await(ctx, "the engine serves", func(ctx context.Context) error {
		_, err := fleet.GroundTruth(ctx, u)
		return err
	})).To(Succeed())

	var caller harness.Caller
	answered := make(chan *harness.Answer, 1)
	go func() {
		a, _ := caller.Do(ctx, harness.Call{
			Method: http.MethodPost, URL: "http://" + u.Addresses[0], Path: harness.PathChat,
			Body: harness.ChatBody("m", 50, "a"),
		})
		answered <- a
	}()
	g.Expect(harness.Await(ctx, "the request runs", func(ctx context.Context) error {
		records, err := fleet.GroundTruth(ctx, u)
		if err == nil && len(records) == 0 {
			err = context.Canceled
		}
		return err
	})).To(Succeed())
	g.Expect(u.Stop()).To(Succeed())
	a := <-answered
	g.Expect(a.Complete).To(BeTrue())
	records, err := fleet.GroundTruth(ctx, u)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(HaveLen(2))
	g.Expect(records[1].Event).To(Equal(fake.TruthFinished))
	g.Expect(records[1].OutputTokens).To(Equal(a.Usage.CompletionTokens))
}

func TestCrashingStandinExits(t *testing.T) {
	skipIfShort(t)
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet, err := harness.NewFleet(harness.FleetOptions{Bin: bin, Dir: t.TempDir(), Subnet: subnet()})
	g.Expect(err).NotTo(HaveOccurred())
	defer fleet.Kill()
	u, err := fleet.StartUpstream(harness.UpstreamOptions{
		Kind: "engine", ID: "engine-1", Zone: "z1",
		Flags: []string{"--model", "m", "--crash-marker", "poison", "--exit-on-crash"},
	})
	g.Expect(err).NotTo(HaveOccurred())
	var caller harness.Caller
	g.Expect(harness.Await(ctx, "the engine exits", func(ctx context.Context) error {
		_, _ = caller.Do(ctx, harness.Call{
			Method: http.MethodPost, URL: "http://" + u.Addresses[0], Path: harness.PathChat,
			Body: harness.ChatBody("m", 50, "poison"),
		})
		if u.Running() {
			return context.Canceled
		}
		return nil
	})).To(Succeed())
	g.Expect(u.AwaitExit(time.Second)).NotTo(Succeed())
	records, err := fleet.GroundTruth(ctx, u)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records[len(records)-1].Event).To(Equal(fake.TruthCrashed))
}
