package load

import (
	"fmt"
	"time"

	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// Engine describes the speed of the engines of a site.
type Engine struct {
	Capacity        int
	TokenTime       time.Duration
	PromptTokenTime time.Duration
}

// Flags returns the flags of an engine stand-in.
func (e Engine) Flags() []string {
	return []string{
		"--capacity", fmt.Sprint(e.Capacity),
		"--token-time", e.TokenTime.String(),
		"--prompt-token-time", e.PromptTokenTime.String(),
	}
}

// Speed returns the pace at which the chat requests of arrivals need share of
// the capacity of n engines. Shared prefixes count as cached.
func (e Engine) Speed(arrivals []trace.Arrival, n int, share float64) float64 {
	var work time.Duration
	for i := range arrivals {
		work += e.work(&arrivals[i])
	}
	length := time.Duration(arrivals[len(arrivals)-1].AtMS) * time.Millisecond
	needed := work.Seconds() / length.Seconds()
	return share * float64(n*e.Capacity) / needed
}

// work returns the time for which a occupies an engine's place.
func (e Engine) work(a *trace.Arrival) time.Duration {
	req := chatOf(a)
	if req == nil {
		return 0
	}
	output := req.OutputTokens()
	prompt := req.PromptTokens() * int64(a.TextBytes) / int64(a.PrefixBytes+a.TextBytes)
	return time.Duration(output)*e.TokenTime + time.Duration(prompt)*e.PromptTokenTime
}

// Costs returns what the arrivals of each organisation cost if each runs once, in tokens.
func Costs(d *trace.Deployment, arrivals []trace.Arrival) map[string]int64 {
	costs := map[string]int64{}
	for i := range arrivals {
		a := &arrivals[i]
		costs[a.Organisation] += cost(d, a, chatOf(a))
	}
	return costs
}

// chatOf returns the chat request of a, or nil if a is a plain call.
func chatOf(a *trace.Arrival) *fake.ChatRequest {
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

// cost returns the charge of a if it runs once, in tokens; chat is chatOf(a).
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
