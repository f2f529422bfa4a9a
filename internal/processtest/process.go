package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Process is one process that this test started.
type Process struct {
	cmd    *exec.Cmd
	output *os.File
	ended  chan struct{}
	frozen atomic.Bool
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Terminate asks for a planned stop.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Stop asks for a planned stop and returns whether it ended within the bound.
func (p *Process) Stop(bound time.Duration) bool {
	p.Terminate()
	select {
	case <-p.ended:
		return true
	case <-time.After(bound):
		return false
	}
}

// Freeze stops the process from running until Resume.
func (p *Process) Freeze() {
	p.frozen.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume lets a frozen process go on.
func (p *Process) Resume() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.frozen.Store(false)
}

// IsRunning reports whether the process has neither ended nor been frozen.
func (p *Process) IsRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return !p.frozen.Load()
	}
}

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Usage returns the processor time that the process has used and its resident
// memory in bytes.
func (p *Process) Usage() (processor time.Duration, resident int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	// The name in parentheses may have spaces; the other fields follow it.
	const userTime, systemTime, pages = 11, 12, 21 // fields after the name
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	const clockTick = 10 * time.Millisecond
	return time.Duration(number(userTime)+number(systemTime)) * clockTick, number(pages) * int64(os.Getpagesize()), nil
}
