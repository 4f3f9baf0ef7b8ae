// Package fleet starts a small deployment of the project's programs on loopback addresses, and
// holds the stand-ins of its clients, replicas and operator that the cases of the review share.
package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Bounds of the small deployment (site carvalho-numera).
const (
	ContactTime       = 3 * time.Second
	GraceTime         = 8 * time.Second
	HeartbeatInterval = 1200 * time.Millisecond
)

// Machine is one machine of the deployment and its process.
type Machine struct {
	Name, IP, Zone, Role string

	fleet    *Fleet
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	log      *os.File
}

// Fleet is a deployment of control and gateway machines.
type Fleet struct {
	Controls, Gateways []*Machine
	// Record is the record of the case.
	Record *Record

	daemon, dir                           string
	front, ready, control, hosts, metrics int
}

// Record is a log with the time since the start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// NewRecord creates the record of a case.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, begin: time.Now()}, nil
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// Options sets the size of a deployment.
type Options struct {
	Controls, Gateways int
	// Daemon is the path of the program that the deploy file builds.
	Daemon string
	Record *Record
	// Dir is a temporary folder for settings, data and logs.
	Dir string
}

// Start starts all machines for the first time.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{Record: o.Record, daemon: o.Daemon, dir: o.Dir}
	subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	var ips []string
	for i := range o.Controls {
		m := &Machine{Name: fmt.Sprintf("core-%d", i+1), IP: fmt.Sprintf("%s.%d", subnet, 10+i), Zone: fmt.Sprintf("zone-%d", i), Role: "control", fleet: f}
		f.Controls, ips = append(f.Controls, m), append(ips, m.IP)
	}
	for i := range o.Gateways {
		m := &Machine{Name: fmt.Sprintf("front-%d", i+1), IP: fmt.Sprintf("%s.%d", subnet, 50+i), Zone: fmt.Sprintf("zone-%d", i%o.Controls), Role: "gateway", fleet: f}
		f.Gateways, ips = append(f.Gateways, m), append(ips, m.IP)
	}
	for _, port := range []*int{&f.front, &f.ready, &f.control, &f.hosts, &f.metrics} {
		free, err := freePort(ips)
		if err != nil {
			return nil, err
		}
		*port = free
	}
	for _, m := range f.machines() {
		if err := m.writeSettings(true); err != nil {
			return nil, err
		}
		if err := m.Start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePort returns a port that is free on all addresses.
func freePort(ips []string) (int, error) {
	for range 100 {
		port, free := 20000+rand.IntN(10000), true
		for _, ip := range ips {
			l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free on %v", ips)
}

func (f *Fleet) machines() []*Machine {
	return append(append([]*Machine{}, f.Controls...), f.Gateways...)
}

// Seeds returns the addresses of the first three control machines.
func (f *Fleet) Seeds() []string {
	var seeds []string
	for _, m := range f.Controls[:min(len(f.Controls), 3)] {
		seeds = append(seeds, m.ControlAddress())
	}
	return seeds
}

// ControlAddress returns the address for operators and replicas.
func (m *Machine) ControlAddress() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.control) }

// FrontAddress returns the address for clients.
func (m *Machine) FrontAddress() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.front) }

// writeSettings fills in the template of the deploy file.
func (m *Machine) writeSettings(bootstrap bool) error {
	f := m.fleet
	listen := map[string]any{"hosts": fmt.Sprintf("%s:%d", m.IP, f.hosts), "metrics": fmt.Sprintf("%s:%d", m.IP, f.metrics)}
	s := map[string]any{
		"host": m.Name, "zone": m.Zone, "role": m.Role, "bootstrap": bootstrap, "seeds": f.Seeds(), "listen": listen,
		"memory_mb": 280, "link": map[string]any{"max_delay": "50ms"}, "stop_timeout": "8s",
		"retries":   map[string]any{"ratio": 0.2, "slack": 58, "window": "10s"},
		"admission": map[string]any{"order": "value"},
	}
	if m.Role == "control" {
		listen["control"] = m.ControlAddress()
		s["data_dir"] = filepath.Join(f.dir, m.Name)
		if err := os.MkdirAll(filepath.Join(f.dir, m.Name), 0o755); err != nil {
			return err
		}
	} else {
		listen["callers"] = m.FrontAddress()
		listen["readiness"] = fmt.Sprintf("%s:%d", m.IP, f.ready)
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.dir, m.Name+".json")
	return os.WriteFile(m.settings, data, 0o600)
}

// Start starts the process, by the command of the deploy file.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.fleet.daemon, "--settings", m.settings, "node")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	m.cmd, m.exited, m.log = cmd, exited, log
	return nil
}

// Restart starts the process again, as the platform does after its first start.
func (m *Machine) Restart() error {
	if err := m.writeSettings(false); err != nil {
		return err
	}
	return m.Start()
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

// Exited returns a channel that is closed when the process has ended.
func (m *Machine) Exited() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// Terminate sends SIGTERM, and SIGKILL after the grace time, and waits for the end.
func (m *Machine) Terminate() {
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.Exited():
	case <-time.After(GraceTime):
		m.Signal(syscall.SIGKILL)
		<-m.Exited()
	}
}

// Kill ends the process with SIGKILL.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	<-m.Exited()
}

// Log returns what the process and its predecessors wrote.
func (m *Machine) Log() string {
	data, _ := os.ReadFile(filepath.Join(m.fleet.dir, m.Name+".log"))
	return string(data)
}

// Leads reports whether the log of a control machine says that it leads.
func (m *Machine) Leads() bool {
	leads := false
	for _, line := range strings.Split(m.Log(), "\n") {
		switch {
		case strings.Contains(line, "host starting"):
			leads = false
		case strings.Contains(line, "leadership changed"):
			leads = strings.Contains(line, `leads=true`) || strings.Contains(line, `"leads":true`)
		}
	}
	return leads
}

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, m := range f.machines() {
		if m.cmd != nil {
			m.Kill()
		}
	}
}

// Operator sends one order to the control machines in turn until it is acknowledged.
func (f *Fleet) Operator(method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	client := &http.Client{Timeout: time.Second}
	var lastErr error
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		m := f.Controls[rand.IntN(len(f.Controls))]
		req, err := http.NewRequest(method, "http://"+m.ControlAddress()+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode < 500 {
			return resp.StatusCode, answer, nil
		}
		lastErr = fmt.Errorf("status %d", resp.StatusCode)
	}
	return 0, nil, lastErr
}

// PutConfig sends a configuration until it is acknowledged.
func (f *Fleet) PutConfig(config any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	status, answer, err := f.Operator(http.MethodPost, "/godwitbend/Config.Put", data, 20*time.Second)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("configuration not acknowledged: %d %s %v", status, answer, err)
	}
	return nil
}

// AwaitReady waits until every gateway says that it is ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(timeout)
	for _, m := range f.Gateways {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/godwitbend/readyz", m.IP, f.ready))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
