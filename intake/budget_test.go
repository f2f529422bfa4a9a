package intake

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// opener opens connections, and records which of them a verdict closes.
type opener struct {
	t      interface{ Errorf(string, ...any) }
	budget *Budget
	shut   map[*Connection]bool
}

func newOpener(t *testing.T, connections int, memory int64) *opener {
	return &opener{t: t, budget: NewBudget(Limits{Memory: memory, Connections: connections, ConnectionBytes: 10}), shut: map[*Connection]bool{}}
}

func (o *opener) open(now time.Time, from string, phase Phase) *Connection {
	var c *Connection
	c, verdict := o.budget.Open(now, from, func() { o.shut[c] = true })
	o.apply(verdict)
	if c != nil {
		c.Enter(now, phase)
	}
	return c
}

func (o *opener) charge(now time.Time, c *Connection, bytes int64) bool {
	verdict := c.Charge(now, bytes)
	o.apply(verdict)
	return verdict.Admitted
}

func (o *opener) apply(v Verdict) {
	for _, shut := range v.Close {
		shut()
	}
}

// TestHeaviestSourceFirst guards against a source that holds most of the memory and keeps others from
// being served.
func TestHeaviestSourceFirst(t *testing.T) {
	o := newOpener(t, 100, 800) // 700 without connections that are being closed
	middle := o.open(start.Add(-time.Second/4), "middle", Receiving)
	o.charge(start, middle, 100)
	var heavy []*Connection
	for i := range 5 {
		c := o.open(start.Add(time.Duration(i)), "heavy", Receiving)
		heavy = append(heavy, c)
		o.charge(start, c, 100)
	}
	heavy[0].Progress(start.Add(time.Millisecond), progressBytes)
	if more := o.open(start.Add(time.Second/2), "heavy", Receiving); o.charge(start.Add(time.Second/2), more, 100) {
		t.Error("the heaviest source was admitted although memory is short")
	}
	later := start.Add(2 * DefaultStalled) // all are stalled
	light := o.open(later, "light", Receiving)
	if !o.charge(later, light, 90) {
		t.Error("another source was refused")
	}
	if !o.shut[heavy[1]] || len(o.shut) != 1 {
		t.Errorf("closed %d connections, want the one without progress for the longest", len(o.shut))
	}
	if heavy[1].Enter(start, Handling) {
		t.Error("the request of a connection that is being closed may be handled")
	}
}

// TestIdleFirst guards against a connection with a request that is closed although there are idle ones.
func TestIdleFirst(t *testing.T) {
	o := newOpener(t, 8, 1000)
	o.open(start, "a", Receiving)
	idle := o.open(start.Add(time.Second), "a", Idle)
	for range 5 {
		o.open(start, "a", Handling)
	}
	if o.open(start.Add(time.Hour), "a", Receiving) == nil || !o.shut[idle] || len(o.shut) != 1 {
		t.Error("a new connection did not replace the idle one")
	}
}

// TestSourcesDoNotCloseEachOther guards against two sources of the same weight that close each other's
// connections in turn, so that neither is served, and against a connection that is closed while its
// request is handled.
func TestSourcesDoNotCloseEachOther(t *testing.T) {
	o := newOpener(t, 8, 1000)
	for i, phase := range []Phase{Receiving, Receiving, Receiving, Handling, Handling, Handling, Handling} {
		o.open(start, []string{"a", "b"}[i%2], phase)
	}
	if o.open(start, "a", Receiving) != nil || o.open(start, "b", Receiving) != nil {
		t.Error("a connection that makes progress was closed")
	}
	for range 3 {
		if o.open(start.Add(DefaultStalled), "a", Handling) == nil {
			break // each stalled connection makes room once, until its share is returned
		}
	}
	if len(o.shut) != 1 {
		t.Errorf("closed %d stalled connections, want as many as the part of the budget for them", len(o.shut))
	}
}

// TestHandlingIsNeverClosed guards against a connection that is closed while its request is handled, which
// would leave the outcome unknown.
func TestHandlingIsNeverClosed(t *testing.T) {
	o := newOpener(t, 8, 1000)
	for range 7 {
		o.open(start, "a", Handling)
	}
	if o.open(start.Add(time.Hour), "b", Receiving) != nil || len(o.shut) != 0 {
		t.Error("a connection was closed although all are being handled")
	}
}

// TestCalmBudget guards against a budget that refuses a single request within its limits.
func TestCalmBudget(t *testing.T) {
	o := newOpener(t, 8, 800)
	if c := o.open(start, "a", Receiving); !o.charge(start, c, 690) {
		t.Error("a single request was refused")
	}
}

// TestRandomUse guards against an amount that is not returned, against limits that are exceeded, and
// against requests that are closed while they are handled.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Memory: 1000, Connections: 10, ConnectionBytes: 20}
		b := NewBudget(limits)
		now := start
		var open []*Connection
		apply := func(v Verdict) {
			for _, shut := range v.Close {
				shut()
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			var c *Connection
			if len(open) > 0 {
				c = open[rapid.IntRange(0, len(open)-1).Draw(t, "connection")]
			}
			switch action := rapid.IntRange(0, 6).Draw(t, "action"); {
			case c == nil || action < 2:
				var opened *Connection
				opened, verdict := b.Open(now, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "source")), func() {
					if opened.phase == Handling {
						t.Fatal("closed a connection whose request is handled")
					}
				})
				apply(verdict)
				if opened != nil {
					open = append(open, opened)
				}
			case action == 2:
				apply(c.Charge(now, int64(rapid.IntRange(1, 300).Draw(t, "bytes"))))
			case action == 3:
				c.Keep(int64(rapid.IntRange(0, 100).Draw(t, "kept")))
			case action == 4:
				c.Enter(now, Phase(rapid.IntRange(0, 2).Draw(t, "phase")))
			case action == 5:
				c.Progress(now, rapid.IntRange(1, 2000).Draw(t, "received"))
			default:
				c.Close()
			}
			if s := b.Stats(); s.Bytes > limits.Memory || s.Connections > limits.Connections || s.Bytes < 0 || s.Closing > s.Connections {
				t.Fatalf("%+v exceeds %+v", s, limits)
			}
		}
		for _, c := range open {
			c.Close()
			c.Close()
		}
		if s := b.Stats(); s != (Stats{}) || b.closing != (amount{}) {
			t.Fatalf("%+v is left, %+v of it being closed", s, b.closing)
		}
	})
}
