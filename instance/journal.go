package instance

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/schedule"
)

const (
	// journalQueueLength bounds the lines that wait to be written; it holds the lines of two
	// seconds at the peak rate.
	journalQueueLength = 4096
	// journalFlushInterval bounds how long a line is buffered. One write of many lines takes
	// far less processor time than one write per line.
	journalFlushInterval = 100 * time.Millisecond
	// journalBufferSize is the size of the write buffer in bytes.
	journalBufferSize = 64 << 10
	// journalLineSpace is the free space of the buffer below which it is flushed before the next
	// line, so that a write ends with a whole line: collectors of logs cut lines where writes end.
	journalLineSpace = 4 << 10
)

// Journal writes one log line for each decision. It never blocks: when its queue is
// full, lines are dropped and counted.
type Journal struct {
	lines   chan line
	dropped metrics.Counter
	out     *bufio.Writer
	logger  *log.Logger
}

type line struct {
	at     time.Time
	event  string
	fields []any
}

// NewJournal returns a journal whose Run method writes to w.
func NewJournal(w io.Writer, registry metrics.Registry) *Journal {
	j := &Journal{
		lines:   make(chan line, journalQueueLength),
		dropped: metrics.NewRegisteredCounter("log.dropped_count", registry),
		out:     bufio.NewWriterSize(w, journalBufferSize),
	}
	j.logger = log.NewWithOptions(j.out, log.Options{Formatter: log.LogfmtFormatter})
	return j
}

// Event records an event other than a decision of the control goroutine.
func (j *Journal) Event(event string, fields ...any) { j.enqueue(event, fields) }

// Decision records a decision of the control goroutine.
func (j *Journal) Decision(d schedule.Decision) {
	fields := d.Fields
	if d.Job != "" {
		fields = append([]any{"job", string(d.Job)}, fields...)
	}
	j.enqueue(d.Event, fields)
}

func (j *Journal) enqueue(event string, fields []any) {
	select {
	case j.lines <- line{at: time.Now(), event: event, fields: fields}:
	default:
		j.dropped.Inc(1)
	}
}

// Run writes queued lines until ctx ends, and then the remaining ones.
func (j *Journal) Run(ctx context.Context) error {
	flushTimer := time.NewTimer(journalFlushInterval)
	flushTimer.Stop()
	defer flushTimer.Stop()
	armed := false
	for {
		select {
		case l := <-j.lines:
			j.write(l)
			if !armed {
				flushTimer.Reset(journalFlushInterval)
				armed = true
			}
		case <-flushTimer.C:
			armed = false
			_ = j.out.Flush() // a failure to write the log cannot be reported anywhere
		case <-ctx.Done():
			j.writeQueued()
			return nil
		}
	}
}

func (j *Journal) writeQueued() {
	for {
		select {
		case l := <-j.lines:
			j.write(l)
		default:
			_ = j.out.Flush() // as in Run
			return
		}
	}
}

func (j *Journal) write(l line) {
	if j.out.Available() < journalLineSpace {
		_ = j.out.Flush() // as in Run
	}
	fields := append([]any{"at", l.at.UTC().Format("15:04:05.000")}, l.fields...)
	j.logger.Info(l.event, fields...)
}
