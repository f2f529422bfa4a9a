package analysis

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a log line. The instances write far shorter ones, so a
// longer line does not come from them.
const maxLineBytes = 64 << 10

// record is one log line.
type record struct {
	at        time.Duration // since an origin that is the same for all lines of the period
	clock     time.Duration // time of day of the instance
	collected bool          // at is the time that a collector of logs has put before the line
	instance  string        // empty if the line does not name it
	event     string
	fields    map[string]string
}

func (r record) number(name string) float64 {
	n, err := strconv.ParseFloat(r.fields[name], 64)
	if err != nil {
		return 0 // fields that are absent count as zero
	}
	return n
}

func (r record) milliseconds(name string) time.Duration {
	return time.Duration(r.number(name) * float64(time.Millisecond))
}

// Unreadable is a line that could not be read.
type Unreadable struct {
	File  string `json:"file"`
	Line  int    `json:"line"`
	Cause string `json:"cause"`
}

// String returns the fault with its place.
func (u Unreadable) String() string { return fmt.Sprintf("%s:%d: %s", u.File, u.Line, u.Cause) }

// readRecords passes each log line of a file, which may be compressed with gzip, to deliver. Lines
// that cannot be read are passed to skip. It returns an error if the file cannot be read to its end.
func readRecords(file string, in io.Reader, deliver func(line int, r record), skip func(Unreadable)) error {
	buffered := bufio.NewReaderSize(in, maxLineBytes)
	if magic, err := buffered.Peek(2); err == nil && magic[0] == 0x1f && magic[1] == 0x8b {
		unpacked, err := gzip.NewReader(buffered)
		if err != nil {
			return eris.Wrapf(err, "%s: read the gzip header", file)
		}
		buffered = bufio.NewReaderSize(unpacked, maxLineBytes)
	}
	for line := 1; ; line++ {
		text, err := buffered.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			skip(Unreadable{file, line, fmt.Sprintf("the line is longer than %d bytes", maxLineBytes)})
			if err := discardLine(buffered); err != nil && !errors.Is(err, io.EOF) {
				return eris.Wrapf(err, "%s:%d", file, line)
			}
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return eris.Wrapf(err, "%s:%d", file, line)
		}
		if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 {
			parseLine(file, line, string(trimmed), deliver, skip)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
	}
}

func discardLine(in *bufio.Reader) error {
	for {
		if _, err := in.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// parseLine reads one line in the format of the instances' logs. A collector of logs may have put a
// time in seconds and the name of the instance before it. Lines without any field level are not
// log lines of an instance and are ignored.
func parseLine(file string, line int, text string, deliver func(int, record), skip func(Unreadable)) {
	start := strings.Index(text, "level=")
	if start < 0 {
		return
	}
	r := record{fields: make(map[string]string)}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			r.fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if err := decoder.Err(); err != nil {
		skip(Unreadable{file, line, err.Error()})
		return
	}
	at, err := time.Parse("15:04:05.000", r.fields["at"])
	if err != nil {
		skip(Unreadable{file, line, fmt.Sprintf("the field at is %q, not a time such as 15:04:05.000", r.fields["at"])})
		return
	}
	r.event = r.fields["msg"]
	r.clock = at.Sub(at.Truncate(24 * time.Hour))
	r.at = r.clock
	for _, word := range strings.Fields(text[:start]) {
		if seconds, err := strconv.ParseFloat(word, 64); err == nil {
			r.collected = true
			r.at = time.Duration(seconds * float64(time.Second))
		} else {
			r.instance = word
		}
	}
	deliver(line, r)
}
