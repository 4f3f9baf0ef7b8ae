package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms of the deployments.
const heartbeatInterval = 1200 * time.Millisecond

// The paths of calls to replicas that are no requests of clients.
const (
	healthPath = "/healthz"
	callPrefix = "/godwitbend/"
	reportPath = callPrefix + "report"
)

// modelService is the service whose replicas serve a model.
const modelService = "llm"

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
	listener net.Listener
	conns    map[net.Conn]bool
	// left is closed when the process is to leave, silent when it has sent its last heartbeat, and stopped when it has ended.
	left, silent, stopped chan struct{}
}

// StartReplica starts a process of a replica, which reports to the control hosts.
func (f *Fleet) StartReplica(r *Replica) *Replica {
	r.f, r.born, r.left, r.silent, r.stopped, r.conns = f, time.Now().UnixMilli(), make(chan struct{}), make(chan struct{}), make(chan struct{}), map[net.Conn]bool{}
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
	select {
	case <-r.left:
		w.Header().Set("Server-Leaving", "1")
	default:
	}
	if want := req.Header.Get("Expect-Replica"); want != "" && want != r.ID {
		w.Header().Set("Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == healthPath:
		r.Seal(w)
		_, _ = io.WriteString(w, "ok")
	case req.URL.Path == reportPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "unified", "models": models(), "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 472455,
			"handles": 0, "pinned": 0, "held": 0, "state": "ready", "next": 0, "runs": []any{}, "born": r.born,
		})
	case strings.HasPrefix(req.URL.Path, callPrefix):
		w.WriteHeader(http.StatusNotFound) // the configurations of the cases name no feature that needs more calls
	default:
		r.Serve(r, w, req)
	}
}

// models returns the models of a model replica, as reports and heartbeats list them.
func models() []any {
	return []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
}

// Seal signs an answer.
func (r *Replica) Seal(w http.ResponseWriter) {
	w.Header().Set("Replica-Seal", fmt.Sprintf("%s.%d", r.ID, r.born))
}

// beat sends heartbeats to control hosts, to the next one after a failure.
func (r *Replica) beat() {
	defer close(r.silent)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for n := 0; ; {
		sequence, body := r.heartbeat()
		delay := r.HeartbeatDelay
		first := n
		n++
		select {
		case <-r.left:
			r.report(first, sequence, body, delay)
			return
		default:
			time.AfterFunc(delay, func() { r.report(first, sequence, body, delay) })
		}
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
		}
	}
}

// heartbeat returns the number and the body of the next heartbeat.
func (r *Replica) heartbeat() (sequence int, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	fields := map[string]any{
		"service": r.Service, "address": r.Address, "zone": "a", "version": r.Version, "slots": r.Slots, "state": "ready",
		"cold_left_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.Service == modelService {
		fields["stage"], fields["models"] = "unified", models()
	}
	body, _ = json.Marshal(fields)
	return r.sequence, body
}

// Leave sends a last heartbeat to a control host, and on the same connection that the replica leaves. It calls
// acknowledged as soon as the acknowledgement arrives. The process serves on, and says in its answers that it leaves.
func (r *Replica) Leave(control int, acknowledged func()) error {
	close(r.left)
	<-r.silent
	conn, err := net.DialTimeout("tcp4", r.f.Control(control), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 4<<10)
	call := func(path, body string) (status string, err error) {
		if _, err := fmt.Fprintf(conn, "POST /godwitbend/%s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body); err != nil {
			return "", err
		}
		n, err := conn.Read(answer)
		return string(answer[:n]), err
	}
	_, heartbeat := r.heartbeat()
	if _, err := call("Replicas.Heartbeat/"+r.ID, string(heartbeat)); err != nil {
		return err
	}
	status, err := call("Replicas.Deregister/"+r.ID, fmt.Sprintf(`{"born":%d}`, r.born))
	if err == nil && !strings.HasPrefix(status, "HTTP/1.1 200 ") {
		err = fmt.Errorf("not acknowledged: %q", status)
	}
	if err == nil {
		acknowledged()
	}
	return err
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
