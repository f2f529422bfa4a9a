package instance

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/pastuse"
	"github.com/mulberrydrum/mulberrydrum/schedule"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// newPastUseInstance returns an instance with the given half-life that logs to out.
func newPastUseInstance(s store.Store, halfLife time.Duration, out *bytes.Buffer) *Instance {
	registry := metrics.NewRegistry()
	cfg := schedule.DefaultConfig()
	cfg.PastUseHalfLife = halfLife
	return New(Config{Name: "e1", Incarnation: "p1", Store: s, Metrics: registry, Journal: NewJournal(out, registry), Timing: DefaultTiming(), Directory: emptyDirectory{}, Schedule: cfg})
}

// TestPastUseRecord guards against past use that a new owner does not read, and against a former owner that
// overwrites it.
func TestPastUseRecord(t *testing.T) {
	s := storetest.NewMemory(storetest.Config{}).Client("e1")
	var out bytes.Buffer
	i := newPastUseInstance(s, time.Hour, &out)
	ownership := mustPut(t, s, keyOwner, cell.Owner{Instance: "e1"})
	now := time.Now()
	ledger := pastuse.New(time.Hour)
	ledger.SetCapacity(now, task.Resources{CPUMilli: 1000})
	ledger.SetRunning(now, "red", task.Resources{CPUMilli: 500})
	record := ledger.Record(now.Add(time.Hour), now)
	commit := func(ownership, sequence int64, record *pastuse.Record) bool {
		t.Helper()
		txn, err := encodeCommit(cell.CommitRecords{OwnerRevision: ownership, Sequence: sequence, Commit: schedule.Commit{PastUse: record}}, []byte("{}"))
		if err != nil {
			t.Fatal(err)
		}
		result, err := s.Commit(t.Context(), txn)
		if err != nil {
			t.Fatal(err)
		}
		return result.Succeeded
	}
	if !commit(ownership, 0, record) {
		t.Fatal("the commit was refused")
	}
	recovery, err := i.readRecovery(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if recovery.PastUse == nil || len(recovery.PastUse.Teams) != 1 || recovery.PastUse.Teams[0].Use != record.Teams[0].Use || recovery.PastUse.At != record.At {
		t.Errorf("recovered past use %+v, want %+v", recovery.PastUse, record)
	}
	mustPut(t, s, keyOwner, cell.Owner{Instance: "e2"})
	if commit(ownership, recovery.Sequences[0], record) {
		t.Error("a former owner has written its past use")
	}
	if other, err := newPastUseInstance(s, 0, &out).readRecovery(t.Context()); err != nil || other.PastUse != nil {
		t.Errorf("an instance that ignores past use has read %+v, error %v", other.PastUse, err)
	}
}

// TestBadPastUseRecord guards against a takeover that fails, or that logs nothing, because the record of
// past use cannot be read.
func TestBadPastUseRecord(t *testing.T) {
	for _, text := range []string{
		"", "{", `{"v":1,"at":17000`, `{"v":1,"teams":[{"t":"a","u":[NaN,0,0]}]}`, `{"v":1,"teams":[{"t":"a","u":[1e999,0,0]}]}`,
		`{"v":1,"at":99999999999999999999}`, `[]`, "\x00", strings.Repeat(" ", pastuse.MaxRecordBytes) + "{}",
	} {
		s := storetest.NewMemory(storetest.Config{}).Client("e1")
		if _, err := s.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: keyPastUse, Value: []byte(text)}}}); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		i := newPastUseInstance(s, time.Hour, &out)
		recovery, err := i.readRecovery(t.Context())
		if err != nil || recovery.PastUse != nil {
			t.Errorf("record %.50q: past use %+v, error %v", text, recovery.PastUse, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := i.cfg.Journal.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if lines := strings.Count(out.String(), "use_ignored"); lines != 1 {
			t.Errorf("record %.50q: %d lines use_ignored, want 1: %s", text, lines, out.String())
		}
	}
}

// TestPastUseMetrics guards against gauges of teams that the owner no longer reports, or of an instance
// that is not the owner any more.
func TestPastUseMetrics(t *testing.T) {
	var out bytes.Buffer
	i := newPastUseInstance(storetest.NewMemory(storetest.Config{}).Client("e1"), time.Hour, &out)
	check := func(teams []schedule.TeamPastUse, want ...string) {
		t.Helper()
		i.execute(cell.ShowPastUse{PastUse: schedule.PastUse{Teams: teams}})
		var names []string
		i.cfg.Metrics.Each(func(name string, metric any) {
			if gauge, ok := metric.(metrics.GaugeFloat64); ok && strings.HasPrefix(name, "use.") && gauge.Snapshot().Value() > 0 {
				names = append(names, name)
			}
		})
		slices.Sort(names)
		if !slices.Equal(names, want) {
			t.Errorf("gauges %v, want %v", names, want)
		}
	}
	red := schedule.TeamPastUse{Team: "red", Use: 0.5, Shift: time.Second}
	check([]schedule.TeamPastUse{red, {Team: "blue", Use: 0.1, Shift: time.Millisecond}}, "use.share.blue", "use.share.red", "use.shift_ms.blue", "use.shift_ms.red")
	check([]schedule.TeamPastUse{red}, "use.share.red", "use.shift_ms.red")
	check(nil)
}
