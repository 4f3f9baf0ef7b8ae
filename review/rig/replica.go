package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms of the deployments.
const heartbeatInterval = 1200 * time.Millisecond

// Replica is a stand-in for a replica.
type Replica struct {
	ID, Service, Address, Version string
	Slots                         int
	// Serve answers requests that this process is to run.
	Serve func(r *Replica, w http.ResponseWriter, req *http.Request)
	// HeartbeatDelay is the time for which the network holds the heartbeats that are sent from now on.
	HeartbeatDelay time.Duration

	f        *Fleet
	born     int64
	mu       sync.Mutex
	sequence int
	draining bool
	listener net.Listener
	conns    map[net.Conn]bool
	stopped  chan struct{}
}

// StartReplica starts a process of a replica, which reports to the control hosts.
func (f *Fleet) StartReplica(r *Replica) *Replica {
	r.f, r.born, r.stopped, r.conns = f, time.Now().UnixMilli(), make(chan struct{}), map[net.Conn]bool{}
	var err error
	for range 50 {
		if r.listener, err = net.Listen("tcp4", r.Address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	Must(err)
	server := &http.Server{Handler: http.HandlerFunc(r.handle), ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(r.conns, c)
			return
		}
		r.conns[c] = true
	}}
	go func() { _ = server.Serve(r.listener) }()
	go r.beat()
	f.c.OnStop(r.Crash)
	f.c.Record("replica %s starts: service %s, version %s, born %d, at %s", r.ID, r.Service, r.Version, r.born, r.Address)
	return r
}

// Crash ends the process at once: connections are reset, and nothing is reported.
func (r *Replica) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopped:
		return
	default:
	}
	close(r.stopped)
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Crashed is closed when the process has ended.
func (r *Replica) Crashed() <-chan struct{} { return r.stopped }

func (r *Replica) handle(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	if want := req.Header.Get("Expect-Replica"); want != "" && want != r.ID {
		w.Header().Set("Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.Serve(r, w, req)
}

// Seal signs an answer.
func (r *Replica) Seal(w http.ResponseWriter) {
	w.Header().Set("Replica-Seal", fmt.Sprintf("%s.%d", r.ID, r.born))
}

// beat sends heartbeats to control hosts, to the next one after a failure.
func (r *Replica) beat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for n := 0; ; {
		r.mu.Lock()
		r.sequence++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": r.Service, "address": r.Address, "zone": "a", "version": r.Version, "slots": r.Slots, "state": state,
			"cold_left_ms": 0, "sequence": r.sequence, "born": r.born,
		})
		sequence, delay := r.sequence, r.HeartbeatDelay
		r.mu.Unlock()
		first := n
		n++
		time.AfterFunc(delay, func() { r.report(first, sequence, body, delay) })
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
		}
	}
}

// report delivers a heartbeat. What was sent before a crash may arrive after it.
func (r *Replica) report(first, sequence int, body []byte, delay time.Duration) {
	client := &http.Client{Timeout: time.Second}
	for i := range r.f.controls {
		resp, err := client.Post("http://"+r.f.Control(1+(first+i)%r.f.controls)+"/godwitbend/Replicas.Heartbeat/"+r.ID, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if sequence == 1 || delay > 0 {
			r.f.c.Record("heartbeat %d of replica %s (version %s) acknowledged, held for %v", sequence, r.ID, r.Version, delay)
		}
		return
	}
}
