package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Replica is a stand-in of a replica. Each start is a new incarnation with a new id.
type Replica struct {
	Service, Zone, Address string
	Slots                  int
	// Handle runs a request that this replica is named for.
	Handle func(r *Replica, w http.ResponseWriter, req *http.Request)

	fleet    *Fleet
	mu       sync.Mutex
	id       string
	born     int64
	sequence int64
	server   *http.Server
	running  bool
	conns    map[net.Conn]bool
	stop     chan struct{}
}

// NewReplica returns a replica at a free port of a loopback address.
func (f *Fleet) NewReplica(service, ip, zone string, slots int, handle func(*Replica, http.ResponseWriter, *http.Request)) (*Replica, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	address := l.Addr().String()
	_ = l.Close()
	return &Replica{Service: service, Zone: zone, Address: address, Slots: slots, Handle: handle, fleet: f, conns: map[net.Conn]bool{}}, nil
}

// ID returns the id of the incarnation.
func (r *Replica) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// Start starts a new incarnation, which reports at intervals.
func (r *Replica) Start() error {
	l, err := net.Listen("tcp4", r.Address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.born, r.sequence, r.running = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0, true
	r.stop = make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: r.track}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	go r.report(r.stop)
	return nil
}

func (r *Replica) track(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == http.StateClosed {
		delete(r.conns, c)
	} else {
		r.conns[c] = true
	}
}

// Crash ends the incarnation: its port is closed and its connections are reset.
func (r *Replica) Crash() {
	r.mu.Lock()
	if !r.running {
		r.mu.Unlock()
		return
	}
	r.running = false
	close(r.stop)
	server := r.server
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	r.conns = map[net.Conn]bool{}
	r.mu.Unlock()
	_ = server.Close()
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	id := r.ID()
	if req.URL.Path == "/healthz" {
		w.Header().Set("Replica-Id", id)
		return
	}
	if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	r.Handle(r, w, req)
}

// Seal signs an answer.
func Seal(w http.ResponseWriter, attempt string) { w.Header().Set("Replica-Seal", "seal."+attempt) }

// report sends heartbeats to a control machine, and to the next one after a failure.
func (r *Replica) report(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	target := rand.IntN(len(r.fleet.Controls))
	for {
		for range r.fleet.Controls {
			if r.beat(client, r.fleet.Controls[target%len(r.fleet.Controls)]) {
				break
			}
			target++
		}
		select {
		case <-stop:
			return
		case <-time.After(HeartbeatInterval):
		}
	}
}

func (r *Replica) beat(client *http.Client, m *Machine) bool {
	r.mu.Lock()
	if !r.running {
		r.mu.Unlock()
		return true
	}
	r.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": "ready",
		"cold_left_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	id := r.id
	r.mu.Unlock()
	resp, err := client.Post("http://"+m.ControlAddress()+"/godwitbend/Replicas.Heartbeat/"+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < 300
}
