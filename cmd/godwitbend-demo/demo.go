package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
)

const (
	hostCount          = 3
	organisationName   = "kiosk"
	budgetName         = "kiosk-2026"
	callerName         = "till"
	className          = "counter"
	modelName          = "assistant"
	numberingName      = "numbering"
	numberingPath      = "/services/" + numberingName + "/series/A/next"
	paidInTokens       = 2000
	numberingTokens    = 5
	maxChatTokens      = 40
	maxExhaustRequests = 200
)

// step is one named step of the demo.
type step struct {
	name string
	run  func(context.Context) error
}

// demo holds the state that steps pass on to later ones.
type demo struct {
	bin           string
	dir           string
	fleet         *harness.Fleet
	engine        *harness.Upstream
	numberService *harness.Upstream
	caller        harness.Caller
	// number is what the first call to the numbering service returned.
	number         string
	reportedTokens int64
}

func (d *demo) steps() []step {
	return []step{
		{"start three daemons", d.startHosts},
		{"start a model engine and a numbering service", d.startUpstreams},
		{"write the configuration with godwitbendctl", d.configure},
		{"upstreams serve", d.awaitUpstreams},
		{"stream a model request through one host", d.streamChat},
		{"draw a number through another host", d.takeNumber},
		{"repeat the call with the same key at a third host", d.repeatNumber},
		{"exhaust the budget", d.exhaustBudget},
		{"the charges equal what the upstreams executed", d.compareCharges},
		{"stop all processes by SIGTERM", func(context.Context) error { return d.fleet.Stop() }},
	}
}

func (d *demo) kill() {
	if d.fleet != nil {
		d.fleet.Kill()
	}
}

func (d *demo) startHosts(ctx context.Context) error {
	fleet, err := harness.NewFleet(harness.FleetOptions{
		Bin: d.bin, Dir: d.dir, Hosts: hostCount, ControlHosts: hostCount, Zones: hostCount,
	})
	if err != nil {
		return err
	}
	d.fleet = fleet
	if err := fleet.StartHosts(); err != nil {
		return err
	}
	return fleet.AwaitReady(ctx)
}

func (d *demo) startUpstreams(context.Context) error {
	var err error
	d.engine, err = d.fleet.StartUpstream(harness.UpstreamOptions{
		Kind: "engine", ID: "engine-1", Zone: "z1", Flags: []string{"--model", modelName},
	})
	if err != nil {
		return err
	}
	d.numberService, err = d.fleet.StartUpstream(harness.UpstreamOptions{
		Kind: "service", ID: "numbering-1", Zone: "z2", Flags: []string{"--name", numberingName},
	})
	return err
}

func (d *demo) configure(ctx context.Context) error {
	commands := [][]string{
		{"organisation", "create", organisationName},
		{"class", "create", className, "--worth", "10", "--deadline", "10s", "--queue-limit", "100"},
		{"budget", "create", budgetName, "--organisation", organisationName},
		{"service", "create", modelName, "--kind", "model"},
		{"service", "create", numberingName, "--kind", "plain",
			"--method", fmt.Sprintf("POST /series/*/next,tokens=%d", numberingTokens),
			"--method", "GET /series/*,repeatable"},
		{"policy", "create", "kiosk-work", "--organisation", organisationName,
			"--services", modelName + "," + numberingName, "--upstreams", "*"},
		{"budget", "top-up", budgetName, "--tokens", fmt.Sprint(paidInTokens), "--operation-id", "demo-top-up"},
	}
	for i, args := range commands {
		if _, err := d.fleet.Ctl(ctx, d.fleet.Hosts[i%hostCount], args...); err != nil {
			return err
		}
	}
	out, err := d.fleet.Ctl(ctx, d.fleet.Hosts[0], "caller", "create", callerName,
		"--organisation", organisationName, "--class", className, "--budget", budgetName, "-o", "json")
	if err != nil {
		return err
	}
	d.caller.Key, err = callerKey(out)
	return err
}

// callerKey returns the key in the output of "caller create".
func callerKey(out []byte) (string, error) {
	var created struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(out, &created); err != nil || created.Key == "" {
		return "", fmt.Errorf("no key in %q", out)
	}
	return created.Key, nil
}

func (d *demo) awaitUpstreams(ctx context.Context) error {
	return d.fleet.AwaitUpstreams(ctx, len(d.fleet.Upstreams))
}

func (d *demo) chat(ctx context.Context, host int, key, question string) (*harness.Answer, error) {
	return d.caller.Do(ctx, harness.Call{
		Method:         http.MethodPost,
		URL:            d.fleet.Hosts[host].CallersURL(),
		Path:           harness.PathChat,
		IdempotencyKey: key,
		Body:           harness.ChatBody(modelName, maxChatTokens, question),
	})
}

func (d *demo) streamChat(ctx context.Context) error {
	const question = "Describe twelve loaves of rye bread for an invoice."
	a, err := d.chat(ctx, 0, "demo-chat", question)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK || a.Usage == nil {
		return fmt.Errorf("status %d, usage %v, refusal %v", a.Status, a.Usage, a.Refusal)
	}
	req, err := fake.ParseChat(harness.ChatBody(modelName, maxChatTokens, question))
	if err != nil {
		return err
	}
	if want := req.AnswerText(a.Usage.CompletionTokens); a.Text != want {
		return fmt.Errorf("text %q, want %q", a.Text, want)
	}
	d.reportedTokens += a.Usage.TotalTokens
	return nil
}

func (d *demo) callNumbering(ctx context.Context, host int) (string, error) {
	a, err := d.caller.Do(ctx, harness.Call{
		Method:         http.MethodPost,
		URL:            d.fleet.Hosts[host].CallersURL(),
		Path:           numberingPath,
		IdempotencyKey: "demo-number",
	})
	if err != nil {
		return "", err
	}
	if a.Status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", a.Status, a.Body)
	}
	return strings.TrimSpace(string(a.Body)), nil
}

func (d *demo) takeNumber(ctx context.Context) error {
	number, err := d.callNumbering(ctx, 1)
	d.number = number
	d.reportedTokens += numberingTokens
	return err
}

func (d *demo) repeatNumber(ctx context.Context) error {
	again, err := d.callNumbering(ctx, 2)
	if err != nil {
		return err
	}
	if again != d.number {
		return fmt.Errorf("first call returned %s, repeated call %s", d.number, again)
	}
	return nil
}

// exhaustBudget sends model requests until one is refused, and checks that the refusal
// reports the exhausted budget.
func (d *demo) exhaustBudget(ctx context.Context) error {
	for i := range maxExhaustRequests {
		a, err := d.chat(ctx, i%hostCount, fmt.Sprintf("demo-dry-%d", i), "And the next one?")
		if err != nil {
			return err
		}
		if a.Refusal != nil {
			return checkExhausted(a)
		}
		if a.Usage == nil {
			return fmt.Errorf("status %d without usage", a.Status)
		}
		d.reportedTokens += a.Usage.TotalTokens
	}
	return fmt.Errorf("no refusal in %d requests", maxExhaustRequests)
}

func checkExhausted(a *harness.Answer) error {
	if a.Status != http.StatusPaymentRequired ||
		a.Refusal.Kind != errkind.BudgetExhausted ||
		a.Refusal.Outcome() != errkind.NotRun {
		return fmt.Errorf("refused with status %d %+v", a.Status, a.Refusal)
	}
	return nil
}
