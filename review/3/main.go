// Case 3: streams that clients take up again after all processes were killed don't go on, though every
// replica runs the software version that began them and new streams begin.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/review/fleet"
)

const (
	service = "assistente"
	host    = "invoices.example"
	key     = "k4cd7l2m9q"
	// deadline is how long a client of counter-hint waits, and events the length of a stream.
	deadline = 10 * time.Second
	events   = 34
	// gap is the pause between two events; the sheet allows 500 ms.
	gap = 280 * time.Millisecond
	// streams is the number of streams that are taken up, and of new ones beside them. The rule counts from 12 on.
	streams = 16
	// killAfter is the time from the first requests to the kill, downTime the time until the processes are
	// started again, and settleTime the time from then until all gateways are in touch: twice contact_ms,
	// as the kill took most of the core.
	killAfter  = 700 * time.Millisecond
	downTime   = 790 * time.Millisecond
	settleTime = 2*fleet.ContactTime + 200*time.Millisecond
)

func main() { os.Exit(run()) }

// stream is what a client has of a stream.
type stream struct {
	id, body  string
	lastEvent int
	began     time.Time
}

func run() int {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Println(err)
		return fleet.CantRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	record, err := fleet.NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return fleet.CantRun
	}
	f, err := fleet.Start(fleet.Options{Controls: 5, Gateways: 4, Daemon: os.Args[2], Record: record, Dir: dir})
	if err != nil {
		record.Printf("can't start: %v", err)
		return fleet.CantRun
	}
	defer f.Stop()
	if err := prepare(f); err != nil {
		record.Printf("can't run: %v", err)
		return fleet.CantRun
	}
	return play(f, record, os.Getenv("TROUBLE") != "0")
}

func prepare(f *fleet.Fleet) error {
	config := map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "counter-hint", "hostname": host, "path_prefix": "/hint/", "kind": "streaming", "timeout_ms": 10000,
			"target_latency_ms": 500, "target_gap_ms": 500, "priority": 2, "service": service, "max_attempts": 2, "anonymous": false,
			"session_affinity": true, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 500349, "kv_token_bytes": 327680, "stride": 5, "moves": true, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []any{key}, "priority": 1}},
	}
	if err := f.PutConfig(config); err != nil {
		return err
	}
	for i := range 4 {
		r, err := f.NewReplica(service, "127.0.0.1", fmt.Sprintf("zone-%d", i%3), 64, serve)
		if err != nil {
			return err
		}
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(fleet.ContactTime)
	return nil
}

// serve runs a stream, from the event after Last-Event-Id on.
func serve(_ *fleet.Replica, w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	fleet.Seal(w, req.Header.Get("Attempt-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, body, i)
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-time.After(gap):
		}
	}
}

// receive sends a request and reads events until ctx ends or the stream does. It returns the status, and the
// number of events that came.
func receive(ctx context.Context, m *fleet.Machine, s *stream, timeLeft time.Duration, resumes string) (status, received int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.FrontAddress()+"/hint/1", strings.NewReader(s.body))
	if err != nil {
		return 0, 0, err
	}
	req.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": s.id, "Deadline-Ms": strconv.FormatInt(timeLeft.Milliseconds(), 10), "Authorization": "Token " + key, "Model": "m",
		"Token-Counts": "1460,170", "Prompt-Prefix": "5c1e07a2:210,91bd3f06:140," + s.body + ":1110",
	} {
		req.Header.Set(name, value)
	}
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.lastEvent))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, 0, fmt.Errorf("%.160s", answer)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			n, convErr := strconv.Atoi(id)
			if convErr != nil || n != s.lastEvent+1 {
				return resp.StatusCode, received, fmt.Errorf("event %q after event %d", id, s.lastEvent)
			}
			s.lastEvent = n
			received++
		}
	}
	return resp.StatusCode, received, lines.Err()
}

func play(f *fleet.Fleet, record *fleet.Record, trouble bool) int {
	open := make([]*stream, streams)
	var clients sync.WaitGroup
	// Without the disruption the clients lose their connections themselves.
	clientLinks, breakLinks := context.WithCancel(context.Background())
	defer breakLinks()
	for i := range open {
		s := &stream{id: fleet.NewID(), body: fmt.Sprintf("%08x", 0xa0000000+i), began: time.Now()}
		open[i] = s
		m := f.Gateways[i%len(f.Gateways)]
		clients.Go(func() {
			status, received, err := receive(clientLinks, m, s, deadline, "")
			record.Printf("client: stream %s at %s: status %d, %d events, then %v", s.id, m.Name, status, received, err)
		})
	}
	time.Sleep(killAfter)
	if trouble {
		var kills sync.WaitGroup
		for _, m := range append(append([]*fleet.Machine{}, f.Controls...), f.Gateways...) {
			kills.Go(m.Kill)
		}
		kills.Wait()
		record.Printf("platform: all processes were killed")
		time.Sleep(downTime)
		for _, m := range append(append([]*fleet.Machine{}, f.Controls...), f.Gateways...) {
			if err := m.Restart(); err != nil {
				record.Printf("can't restart %s: %v", m.Name, err)
				return fleet.CantRun
			}
		}
		record.Printf("platform: all processes were started again")
	} else {
		breakLinks()
		time.Sleep(downTime)
	}
	clients.Wait()
	time.Sleep(settleTime)
	wentOn, begun, takenUp := takeUp(f, record, open)
	record.Printf("%d streams were taken up, %d of them went on; of %d new ones %d began", takenUp, wentOn, streams, begun)
	switch {
	case takenUp < 12 || begun == 0:
		record.Printf("can't judge: too few streams")
		return fleet.CantRun
	case 2*wentOn*streams < begun*takenUp:
		record.Printf("BROKEN: LOST")
		return fleet.Broken
	}
	record.Printf("held")
	return fleet.Held
}

// takeUp takes the streams up at other gateways, and begins as many new ones.
func takeUp(f *fleet.Fleet, record *fleet.Record, open []*stream) (wentOn, begun, takenUp int) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i, s := range open {
		m := f.Gateways[(i+1)%len(f.Gateways)]
		clients.Go(func() {
			fresh := &stream{id: fleet.NewID(), body: fmt.Sprintf("%08x", 0xb0000000+i)}
			status, received, err := receive(context.Background(), m, fresh, 2*time.Second, "")
			record.Printf("client: new stream %s at %s: status %d, %d events, then %v", fresh.id, m.Name, status, received, err)
			mu.Lock()
			defer mu.Unlock()
			if received > 0 {
				begun++
			}
		})
		if s.lastEvent == 0 {
			continue
		}
		takenUp++
		clients.Go(func() {
			first := s.id
			s.id = fleet.NewID()
			left := time.Until(s.began.Add(deadline))
			status, received, err := receive(context.Background(), m, s, left, first)
			record.Printf("client: stream %s taken up as %s at %s, %d ms before its deadline: status %d, %d more events, then %v", first, s.id, m.Name, left.Milliseconds(), status, received, err)
			mu.Lock()
			defer mu.Unlock()
			if received > 0 {
				wentOn++
			}
		})
	}
	clients.Wait()
	return wentOn, begun, takenUp
}
