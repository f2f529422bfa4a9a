package standin

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// maxCommandBytes bounds the result of a bytes command.
const maxCommandBytes = 256 << 20

// command is what a task does: it lasts for a time or until it is stopped, then
// ends with an exit code and a result.
type command struct {
	lasts   time.Duration
	forever bool
	exit    int
	result  []byte
}

// parseCommand reads one of echo, sleep:<duration>, bytes:<n>, fail:<code> and
// run. Echo and sleep return the payload.
func parseCommand(text string, a task.Attempt, payload []byte) (command, error) {
	name, argument, _ := strings.Cut(text, ":")
	switch name {
	case "echo":
		return command{result: payload}, nil
	case "sleep":
		lasts, err := time.ParseDuration(argument)
		if err != nil || lasts < 0 {
			return command{}, eris.Errorf("command %q: want sleep:<duration>", text)
		}
		return command{lasts: lasts, result: payload}, nil
	case "bytes":
		n, err := strconv.Atoi(argument)
		if err != nil || n < 0 || n > maxCommandBytes {
			return command{}, eris.Errorf("command %q: want bytes:<n> with n up to %d", text, maxCommandBytes)
		}
		return command{result: fill(a, n)}, nil
	case "fail":
		code, err := strconv.Atoi(argument)
		if err != nil || code == 0 {
			return command{}, eris.Errorf("command %q: want fail:<exit code>", text)
		}
		return command{exit: code}, nil
	case "run":
		return command{forever: true}, nil
	}
	return command{}, eris.Errorf("command %q: want echo, sleep, bytes, fail or run", text)
}

// fill returns n bytes that differ from attempt to attempt, so that crossed
// results have different digests.
func fill(a task.Attempt, n int) []byte {
	pattern := []byte(a.String() + "\n")
	return bytes.Repeat(pattern, n/len(pattern)+1)[:n]
}
