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

// Process is a process that the test started.
type Process struct {
	cmd    *exec.Cmd
	output *os.File
	ended  chan struct{}
	frozen atomic.Bool
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Terminate requests a planned stop with SIGTERM and does not wait for it.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Stop requests a planned stop and reports whether the process ended within the
// bound.
func (p *Process) Stop(bound time.Duration) bool {
	p.Terminate()
	select {
	case <-p.ended:
		return true
	case <-time.After(bound):
		return false
	}
}

// Freeze suspends the process with SIGSTOP until Resume.
func (p *Process) Freeze() {
	p.frozen.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.frozen.Store(false)
}

// IsRunning reports whether the process has not ended and is not frozen.
func (p *Process) IsRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return !p.frozen.Load()
	}
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Usage returns the processor time used by the process and its resident memory in
// bytes.
func (p *Process) Usage() (processor time.Duration, resident int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	// The process name in parentheses may contain spaces; the fields are counted
	// from its end.
	const userTime, systemTime, residentPages = 11, 12, 21 // index after the name
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	fieldValue := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	const clockTick = 10 * time.Millisecond // unit of the processor times
	return time.Duration(fieldValue(userTime)+fieldValue(systemTime)) * clockTick, fieldValue(residentPages) * int64(os.Getpagesize()), nil
}
