package standin

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// maxGeneratedBytes limits the result of a bytes command.
const maxGeneratedBytes = 256 << 20

// command is the simulated work of a task. It runs for duration, or until it is stopped if forever
// is set, and ends with an exit code and a result.
type command struct {
	duration time.Duration
	forever  bool
	exitCode int
	result   []byte
}

// parseCommand parses one of echo, sleep:<duration>, bytes:<n>, fail:<exit code> and run. The
// result of echo and sleep is the payload; that of bytes has n bytes.
func parseCommand(text string, a task.Attempt, payload []byte) (command, error) {
	name, argument, _ := strings.Cut(text, ":")
	switch name {
	case "echo":
		return command{result: payload}, nil
	case "sleep":
		duration, err := time.ParseDuration(argument)
		if err != nil || duration < 0 {
			return command{}, eris.Errorf("command %q: want sleep:<duration>", text)
		}
		return command{duration: duration, result: payload}, nil
	case "bytes":
		n, err := strconv.Atoi(argument)
		if err != nil || n < 0 || n > maxGeneratedBytes {
			return command{}, eris.Errorf("command %q: want bytes:<n> with n up to %d", text, maxGeneratedBytes)
		}
		return command{result: attemptBytes(a, n)}, nil
	case "fail":
		code, err := strconv.Atoi(argument)
		if err != nil || code == 0 {
			return command{}, eris.Errorf("command %q: want fail:<exit code>", text)
		}
		return command{exitCode: code}, nil
	case "run":
		return command{forever: true}, nil
	}
	return command{}, eris.Errorf("command %q: want echo, sleep, bytes, fail or run", text)
}

// attemptBytes returns n bytes that differ between attempts, so that a result delivered for the
// wrong attempt has a different digest.
func attemptBytes(a task.Attempt, n int) []byte {
	pattern := []byte(a.String() + "\n")
	return bytes.Repeat(pattern, n/len(pattern)+1)[:n]
}
