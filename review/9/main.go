// Command 9 kills the control host that has acknowledged that a replica leaves, right after that, and looks whether requests
// that clients send after a quiet spell reach the replica.
package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/godwitbend/godwitbend/review/rig"
)

const (
	controls = 3
	gateways = 2
	replicas = 3
	clients  = 8
	pause    = 20 * time.Millisecond
	workTime = 10 * time.Millisecond
	// drainTime is drain_ms, and contactTime contact_ms: a core that lost a machine is stable again, and the others are in touch,
	// after that. slack is for the time of a request on its way.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	slack       = 150 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again that was killed.
	restartDelay = 300 * time.Millisecond
	// quietTime is the time after the acknowledgement in which no client sends a request: the core is stable, and the others are
	// in touch, contactTime after the start of the process that was killed.
	quietTime = restartDelay + contactTime + 2*slack
	// servesOn is the time for which a replica that leaves serves on. The control host that was started again has had more than
	// catch_up_s (4 s) at its end.
	servesOn = 6 * time.Second
	// departures is the number of replicas that leave, one after the other, until the rule is broken.
	departures = 10
)

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "diary", "hostname": "book.example", "path_prefix": "/diary/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 150,
			"priority": 2, "service": "booking", "max_attempts": 2, "anonymous": false,
		}},
		"services": []any{map[string]any{"name": "booking", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "town", "api_keys": []string{"key-of-town"}, "priority": 1}},
	}
}

// arrivals holds the times at which requests reached each replica.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) serve(r *rig.Replica, w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	a.at[r.ID] = append(a.at[r.ID], time.Now())
	a.mu.Unlock()
	time.Sleep(workTime)
	r.Seal(w)
	_, _ = io.WriteString(w, "diary")
}

// after returns the number of requests that reached a replica after a time, and when the last one did.
func (a *arrivals) after(id string, from time.Time) (n int, last time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at[id] {
		if at.After(from) {
			n++
		}
		last = at
	}
	return n, last
}

// look sends requests to a gateway until stop is closed, but for quiet spells.
func look(address, name string, stop <-chan struct{}, quiet *atomic.Bool, answered, failed *atomic.Int64) {
	client := &http.Client{Timeout: 2 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if quiet.Load() {
			continue
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/diary/"+name, nil)
		rig.Must(err)
		req.Host = "book.example"
		req.Header.Set("Attempt-Id", fmt.Sprintf("%s-%d", name, n))
		req.Header.Set("Deadline-Ms", "1000")
		req.Header.Set("Authorization", "Token key-of-town")
		resp, err := client.Do(req)
		if err != nil {
			failed.Add(1)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			answered.Add(1)
		} else {
			failed.Add(1)
		}
	}
}

func play(c *rig.Case) int {
	f := c.NewFleet(134)
	hosts := f.StartControls(controls)
	f.StartGateways(gateways)
	f.Put(config())
	f.AwaitReady(gateways)
	a := &arrivals{at: map[string][]time.Time{}}
	var running []*rig.Replica
	start := func(n int) {
		running = append(running, f.StartReplica(&rig.Replica{
			ID: fmt.Sprintf("i-%d", n), Service: "booking", Address: f.ReplicaAddress(n), Version: "v1", Slots: 6, Serve: a.serve,
		}))
	}
	for n := 1; n <= replicas; n++ {
		start(n)
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var answered, failed atomic.Int64
	var quiet atomic.Bool
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() { look(f.Gateway(1+n%gateways), fmt.Sprintf("c%d", n), stop, &quiet, &answered, &failed) })
	}
	result := rig.Held
	for n := range departures {
		start(replicas + 1 + n) // the new one first
		time.Sleep(time.Second)
		leaving, control := running[0], 1+n%controls
		running = running[1:]
		quiet.Store(true)
		time.Sleep(slack) // for the requests on their way
		var acknowledged, restarted time.Time
		err := leaving.Leave(control, func() {
			if c.Trouble {
				hosts[control-1].Signal(syscall.SIGKILL)
			}
			acknowledged = time.Now()
		})
		if err != nil {
			c.Record("control host %d does not acknowledge that %s leaves: %v", control, leaving.ID, err)
			return rig.NotRun
		}
		c.Record("control host %d acknowledged that %s leaves; killed: %v", control, leaving.ID, c.Trouble)
		if c.Trouble {
			<-hosts[control-1].Ended()
			time.Sleep(time.Until(acknowledged.Add(restartDelay)))
			hosts[control-1] = f.RestartControl(control)
			restarted = time.Now()
			c.Record("control host %d starts again %.3f s after the acknowledgement", control, restarted.Sub(acknowledged).Seconds())
		}
		time.Sleep(time.Until(acknowledged.Add(quietTime)))
		if time.Since(restarted) < contactTime {
			c.Record("control host %d was started too late", control)
			return rig.NotRun
		}
		quiet.Store(false)
		time.Sleep(time.Until(acknowledged.Add(servesOn)))
		late, last := a.after(leaving.ID, acknowledged.Add(quietTime))
		leaving.Crash()
		c.Record("%s ends %.1f s after the acknowledgement: %d requests reached it later than %.2f s after that (drain_ms is %.0f), the last one %.3f s after it",
			leaving.ID, servesOn.Seconds(), late, quietTime.Seconds(), 1000*drainTime.Seconds(), last.Sub(acknowledged).Seconds())
		if late > 0 {
			result = rig.Broken
			break
		}
	}
	close(stop)
	wg.Wait()
	c.Record("%d requests answered, %d not", answered.Load(), failed.Load())
	if answered.Load() == 0 {
		return rig.NotRun
	}
	return result
}

func main() { rig.Run(play) }
