package rig

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// memoryInterval is the interval at which the platform looks at the memory of a process.
const memoryInterval = 5 * time.Millisecond

// MemoryMB returns the resident memory of the process in MB of 2^20 bytes; 0 if it has ended.
func (p *Process) MemoryMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Pid()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// LimitMemory kills the process once it uses more than limit MB, as the platform does, and then calls killed. It returns a
// function that tells the most that was seen.
func (p *Process) LimitMemory(limit float64, killed func()) (peak func() float64) {
	most := make(chan float64, 1)
	most <- 0
	go func() {
		for {
			select {
			case <-p.Ended():
				return
			case <-time.After(memoryInterval):
			}
			used := p.MemoryMB()
			most <- max(<-most, used)
			if used > limit {
				p.Signal(syscall.SIGKILL)
				p.c.Record("the platform kills %s: it uses %.1f MB, more than %.0f", p.Name, used, limit)
				killed()
				return
			}
		}
	}()
	return func() float64 {
		used := <-most
		most <- used
		return used
	}
}
