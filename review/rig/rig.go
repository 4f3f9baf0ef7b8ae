// Package rig starts a small fleet of the project's programs on loopback addresses, with stand-ins for the platform and
// the operator, for the cases of the second review.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The results of a case, as exit codes.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// The ports are the same on all machines of a fleet, as on the platform.
const (
	hostsPort   = 7100
	controlPort = 7101
	callersPort = 7102
	readyPort   = 7103
	metricsPort = 9464
	// ReplicaPort is where replicas listen.
	ReplicaPort = 8080
)

// daemon is the program that the build line of the deploy file makes.
const daemon = "target/godwitbendd"

// Case is one run of a case.
type Case struct {
	// Trouble is false if the run leaves out the disruption.
	Trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
	stops  []func()
}

// Run runs a case, whose folder is the last argument of the program, and exits with its result.
func Run(play func(c *Case) int) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(NotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	c.Record("trouble: %v", c.Trouble)
	result := func() (result int) {
		defer c.stop()
		defer func() {
			if failure := recover(); failure != nil {
				c.Record("could not run: %v", failure)
				result = NotRun
			}
		}()
		return play(c)
	}()
	c.Record("result: %d", result)
	_ = record.Close()
	os.Exit(result)
}

// OnStop registers what ends something that the case started. The last one registered is called first.
func (c *Case) OnStop(stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, stop)
}

func (c *Case) stop() {
	c.mu.Lock()
	stops := c.stops
	c.stops = nil
	c.mu.Unlock()
	for i := len(stops) - 1; i >= 0; i-- {
		stops[i]()
	}
}

// Since returns the time since the case began.
func (c *Case) Since() time.Duration { return time.Since(c.began) }

// Record writes a line to record.txt, and to standard output.
func (c *Case) Record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", c.Since().Seconds()) + fmt.Sprintf(format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Println(line)
	_, _ = fmt.Fprintln(c.record, line)
}

// Must ends the case as not run if err is set.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// Fleet is a fleet of control hosts and gateways, each a process of its own.
type Fleet struct {
	c        *Case
	dir      string
	subnet   string
	controls int
	memoryMB float64
}

// NewFleet returns a fleet with a loopback subnet and a temporary folder of its own.
func (c *Case) NewFleet(memoryMB float64) *Fleet {
	dir, err := os.MkdirTemp("", "godwitbend-review")
	Must(err)
	c.OnStop(func() { _ = os.RemoveAll(dir) })
	f := &Fleet{c: c, dir: dir, memoryMB: memoryMB}
	for pid := os.Getpid(); ; pid += 7 {
		f.subnet = fmt.Sprintf("127.%d.%d", 60+pid%60, pid/60%250)
		if f.free() {
			return f
		}
	}
}

// free reports whether nobody listens in the subnet.
func (f *Fleet) free() bool {
	for _, port := range []int{hostsPort, controlPort, callersPort, readyPort, metricsPort, ReplicaPort} {
		for _, machine := range []int{1, 2, 3, 4, 5, 11, 12, 13} {
			l, err := net.Listen("tcp4", f.address(machine, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *Fleet) ip(machine int) string { return fmt.Sprintf("%s.%d", f.subnet, machine) }

func (f *Fleet) address(machine, port int) string { return fmt.Sprintf("%s:%d", f.ip(machine), port) }

// Control returns where the control host with a number from 1 serves replicas and the operator.
func (f *Fleet) Control(n int) string { return f.address(n, controlPort) }

// Gateway returns where the gateway with a number from 1 serves clients.
func (f *Fleet) Gateway(n int) string { return f.address(10+n, callersPort) }

// ReplicaAddress returns the address of the replica with a number from 1.
func (f *Fleet) ReplicaAddress(n int) string { return f.address(100+n, ReplicaPort) }

// StartControls starts control hosts, of which the first three are the seeds.
func (f *Fleet) StartControls(n int) []*Process {
	f.controls = n
	var started []*Process
	for i := 1; i <= n; i++ {
		data := filepath.Join(f.dir, fmt.Sprintf("data-%d", i))
		Must(os.MkdirAll(data, 0o750))
		started = append(started, f.Start(f.settings(i, "control", data)))
	}
	return started
}

// RestartControl starts the control host with a number from 1 again, with its disk.
func (f *Fleet) RestartControl(n int) *Process {
	s := f.settings(n, "control", filepath.Join(f.dir, fmt.Sprintf("data-%d", n)))
	s["bootstrap"] = false
	return f.Start(s)
}

// StartGateways starts gateways.
func (f *Fleet) StartGateways(n int) []*Process {
	var started []*Process
	for i := 1; i <= n; i++ {
		started = append(started, f.Start(f.settings(10+i, "gateway", "")))
	}
	return started
}

// settings returns what deploy/node.json.tmpl renders for a machine.
func (f *Fleet) settings(machine int, role, data string) map[string]any {
	var seeds []string
	for i := 1; i <= min(f.controls, 3); i++ {
		seeds = append(seeds, f.Control(i))
	}
	listen := map[string]any{"metrics": f.address(machine, metricsPort), "hosts": f.address(machine, hostsPort)}
	s := map[string]any{
		"host": fmt.Sprintf("%s-%d", role, machine), "zone": "a", "role": role, "bootstrap": true, "seeds": seeds, "listen": listen,
		"memory_mb": f.memoryMB, "link": map[string]any{"max_delay": "50ms"}, "stop_timeout": "8s",
		"retries":   map[string]any{"ratio": 0.2, "slack": 54, "window": "10s"},
		"admission": map[string]any{"order": "value"},
	}
	if role == "control" {
		listen["control"], s["data_dir"], s["memory_mb"] = f.address(machine, controlPort), data, 280
	} else {
		listen["callers"], listen["readiness"] = f.address(machine, callersPort), f.address(machine, readyPort)
	}
	return s
}

// Process is a process of the fleet.
type Process struct {
	Name string
	Log  string
	c    *Case
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts a process with the run command of the deploy file.
func (f *Fleet) Start(settings map[string]any) *Process {
	name := settings["host"].(string)
	data, err := json.Marshal(settings)
	Must(err)
	path := filepath.Join(f.dir, name+".json")
	Must(os.WriteFile(path, data, 0o600))
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	p := &Process{Name: name, Log: log.Name(), c: f.c, done: make(chan struct{})}
	p.cmd = exec.Command(daemon, "--settings", path, "node")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	f.c.OnStop(func() {
		p.Signal(syscall.SIGKILL)
		<-p.done
		_ = log.Close()
	})
	return p
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process if it still runs.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// Put sends a configuration to the control hosts in turn until one acknowledges it.
func (f *Fleet) Put(config map[string]any) {
	data, err := json.Marshal(config)
	Must(err)
	client := &http.Client{Timeout: 2 * time.Second}
	for i := range 100 {
		resp, err := client.Post("http://"+f.Control(1+i%f.controls)+"/godwitbend/Config.Put", "application/json", bytes.NewReader(data))
		if err == nil {
			answer, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.c.Record("configuration %v acknowledged", config["version"])
				return
			}
			if resp.StatusCode == http.StatusBadRequest {
				panic(fmt.Sprintf("configuration refused: %s", answer))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	panic("no control host acknowledges the configuration")
}

// AwaitReady waits until gateways say that they are ready.
func (f *Fleet) AwaitReady(gateways int) {
	client := &http.Client{Timeout: time.Second}
	for n := 1; n <= gateways; n++ {
		ready := false
		for range 150 {
			resp, err := client.Get("http://" + f.address(10+n, readyPort) + "/godwitbend/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if ready = resp.StatusCode == http.StatusOK; ready {
					break
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !ready {
			panic(fmt.Sprintf("gateway %d is not ready", n))
		}
	}
	f.c.Record("%d gateways ready", gateways)
}
