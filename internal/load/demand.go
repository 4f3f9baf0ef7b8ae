package load

import (
	"fmt"
	"time"

	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// Engine holds the capacity and speed of each engine of a site.
type Engine struct {
	// Capacity is the number of slots.
	Capacity int
	// TokenTime is the time to generate one output token, and PromptTokenTime the time to
	// prefill one prompt token.
	TokenTime       time.Duration
	PromptTokenTime time.Duration
}

// Flags returns the command-line flags that configure an engine stand-in accordingly.
func (e Engine) Flags() []string {
	return []string{
		"--capacity", fmt.Sprint(e.Capacity),
		"--token-time", e.TokenTime.String(),
		"--prompt-token-time", e.PromptTokenTime.String(),
	}
}

// ReplaySpeed returns the factor by which the arrivals must be accelerated for their chat requests
// to use loadFactor times the capacity of n engines. Shared prefixes count as cached.
func (e Engine) ReplaySpeed(arrivals []trace.Arrival, n int, loadFactor float64) float64 {
	var work time.Duration
	for i := range arrivals {
		work += e.slotTime(&arrivals[i])
	}
	length := time.Duration(arrivals[len(arrivals)-1].AtMS) * time.Millisecond
	needed := work.Seconds() / length.Seconds()
	return loadFactor * float64(n*e.Capacity) / needed
}

// slotTime returns the time for which a occupies a slot of an engine.
func (e Engine) slotTime(a *trace.Arrival) time.Duration {
	req := parseChat(a)
	if req == nil {
		return 0
	}
	output := req.OutputTokens()
	prompt := req.PromptTokens() * int64(a.TextBytes) / int64(a.PrefixBytes+a.TextBytes)
	return time.Duration(output)*e.TokenTime + time.Duration(prompt)*e.PromptTokenTime
}

// Costs returns the cost in tokens of the arrivals of each organisation if each runs once.
func Costs(d *trace.Deployment, arrivals []trace.Arrival) map[string]int64 {
	costs := map[string]int64{}
	for i := range arrivals {
		a := &arrivals[i]
		costs[a.Organisation] += cost(d, a, parseChat(a))
	}
	return costs
}

// parseChat returns the chat request of a, or nil if a is a call of a plain service.
func parseChat(a *trace.Arrival) *fake.ChatRequest {
	if a.Method != "" {
		return nil
	}
	req, err := fake.ParseChat(chatBody(a))
	if err != nil {
		return nil
	}
	return req
}

func chatBody(a *trace.Arrival) []byte {
	return harness.ChatBody(a.Service, a.MaxTokens, a.Prompt())
}

// cost returns the charge in tokens for a if it runs once. The argument chat is parseChat(a).
func cost(d *trace.Deployment, a *trace.Arrival, chat *fake.ChatRequest) int64 {
	if chat != nil {
		return chat.PromptTokens() + chat.OutputTokens()
	}
	for _, m := range d.Methods {
		if m.Method == a.Method {
			return m.Tokens
		}
	}
	return 0
}
