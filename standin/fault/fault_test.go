package fault

import (
	"testing"
	"time"
)

// TestApply guards against a fault that affects other calls or instances than specified, or a
// different number of calls.
func TestApply(t *testing.T) {
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
		{"watch", "e1", Effect{Delay: slow.Delay, SilentWatch: true}},
		{"txn", "e1", down},
		{"txn", "e1", down},
		{"txn", "e1", slow},
	}
	for i, test := range tests {
		if got := table.Apply(test.call, test.instance); got != test.want {
			t.Errorf("call %d, %s by %s: effect %+v, want %+v", i, test.call, test.instance, got, test.want)
		}
	}
	if got := table.Counters().Received["txn"]; got != 4 {
		t.Errorf("%d calls received, want 4", got)
	}
}

// TestSetRejectsInvalid guards against a misspelt fault that is accepted and then never takes
// effect.
func TestSetRejectsInvalid(t *testing.T) {
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
			t.Errorf("Set(%+v) succeeded, want an error", f)
		}
	}
	if got := len(table.Faults()); got != 0 {
		t.Errorf("%d faults are set, want 0", got)
	}
}
