package holding

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// TestTeamShares guards against a team or a queue that takes everything: others still find room.
func TestTeamShares(t *testing.T) {
	b := New[string](Limits{Bytes: 8000, Allowances: true})
	n := 0
	fill := func(from Source) (admitted int) {
		for b.Admit(start, fmt.Sprint(n), from, 10).Admitted {
			n++
			admitted++
		}
		return admitted
	}
	if first, second := fill(Source{"q", "red"}), fill(Source{"q", "blue"}); first != 400 || second < 80 {
		t.Errorf("the first team holds %d jobs, the second one %d", first, second)
	}
	if v := b.Admit(start, "x", Source{"other", "green"}, 500); !v.Admitted {
		t.Errorf("a team without jobs was rejected: %+v", v)
	}
	if v := b.Admit(start, "y", Source{"q", "red"}, 10); v.Admitted || v.Cause != CauseTeam || v.RetryAfter != maxRetryDelay {
		t.Errorf("decided %+v for a team that holds its share", v)
	}
}

// TestRetryDelay guards against a time of return at which there is still no room.
func TestRetryDelay(t *testing.T) {
	b := New[string](Limits{Bytes: 8000, Allowances: true})
	for n := range 400 {
		b.Hold(start, fmt.Sprint(n), Source{"q", "red"}, 10)
	}
	now := start
	for n := range 100 { // 100 bytes a second
		now = now.Add(100 * time.Millisecond)
		b.Release(now, fmt.Sprint(n))
		b.Hold(now, fmt.Sprint("new", n), Source{"q", "red"}, 10)
	}
	// A third of the difference between 4,200 bytes and twice the 1,800 bytes that are free must be released.
	if v := b.Admit(now, "x", Source{"q", "red"}, 200); v.Admitted || v.RetryAfter < 2*time.Second || v.RetryAfter > 3*time.Second {
		t.Errorf("decided %+v, 200 bytes must be released, and 75 to 100 are released a second", v)
	}
}

// TestRandomUse guards against a charge that is not returned, whatever the order of operations, and against
// admissions beyond the limit.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New[string](Limits{Bytes: 2000, Allowances: rapid.Bool().Draw(t, "allowances")})
		now := start
		ids := []string{"a", "b", "c", "d", "e", "f"}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "job")
			from := Source{rapid.SampledFrom([]string{"q", "r"}).Draw(t, "queue"), rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")}
			bytes := int64(rapid.IntRange(1, 600).Draw(t, "bytes"))
			before := b.Stats()
			switch rapid.IntRange(0, 6).Draw(t, "operation") {
			case 0, 1:
				v := b.Admit(now, id, from, bytes)
				if after := b.Stats(); v.Admitted && after.Bytes > before.Bytes && after.Bytes > b.usable() {
					t.Fatalf("admitted %d bytes beyond the limit: %+v", bytes, after)
				} else if !v.Admitted && (v.RetryAfter < time.Second || v.RetryAfter > maxRetryDelay || after != before) {
					t.Fatalf("rejected with %+v, %+v became %+v", v, before, after)
				}
			case 2:
				b.Hold(now, id, from, bytes)
			case 3:
				if b.Fits(id, bytes) && before.Bytes+bytes > b.usable() {
					t.Fatalf("%d more bytes fit into %+v", bytes, before)
				}
				b.Resize(now, id, bytes)
			case 4:
				b.Release(now, id)
			case 5:
				b.Withdraw(id)
			default:
				b.Expire(now)
			}
			if s := b.Stats(); s.Bytes < s.Reserved || s.Reserved < 0 {
				t.Fatalf("%+v", s)
			}
		}
		b.Expire(now.Add(time.Hour))
		if s := b.Stats(); s.Reserved != 0 {
			t.Fatalf("%d reserved bytes did not expire", s.Reserved)
		}
		for _, id := range ids {
			b.Release(now, id)
		}
		if s := b.Stats(); s != (Stats{Limit: 2000}) || len(b.teams)+len(b.queues) != 0 {
			t.Fatalf("%+v is left, teams %v, queues %v", s, b.teams, b.queues)
		}
	})
}
