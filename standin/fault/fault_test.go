package fault

import (
	"testing"
	"time"
)

// TestTake guards against a fault that hits other calls or other callers than
// it names, or another number of them.
func TestTake(t *testing.T) {
	table := NewTable("txn", "watch")
	err := table.Set(
		Fault{Kind: Down, Call: "txn", Instance: "e1", Count: 2},
		Fault{Kind: Slow, DelayMS: 5},
		Fault{Kind: SilentWatch},
	)
	if err != nil {
		t.Fatal(err)
	}
	slow := Effect{Delay: 5 * time.Millisecond}
	down := Effect{Down: true, Delay: slow.Delay}
	tests := []struct {
		call, instance string
		want           Effect
	}{
		{"txn", "e2", slow},
		{"watch", "e1", Effect{Delay: slow.Delay, Silent: true}},
		{"txn", "e1", down},
		{"txn", "e1", down},
		{"txn", "e1", slow},
	}
	for i, test := range tests {
		if got := table.Take(test.call, test.instance); got != test.want {
			t.Errorf("call %d, %s by %s: %+v, want %+v", i, test.call, test.instance, got, test.want)
		}
	}
	if got := table.Counters().Received["txn"]; got != 4 {
		t.Errorf("%d calls received, want 4", got)
	}
}

// TestSetRefuses guards against a misspelt switch that passes for a fault which
// then never happens.
func TestSetRefuses(t *testing.T) {
	table := NewTable("txn")
	for _, f := range []Fault{
		{},
		{Kind: "dwon"},
		{Kind: Down, Call: "tnx"},
		{Kind: Down, Count: -1},
		{Kind: Slow},
		{Kind: Down, DelayMS: 5},
		{Kind: SilentWatch},
	} {
		if err := table.Set(f); err == nil {
			t.Errorf("Set(%+v) is accepted", f)
		}
	}
	if got := len(table.Faults()); got != 0 {
		t.Errorf("%d faults are set, want 0", got)
	}
}
