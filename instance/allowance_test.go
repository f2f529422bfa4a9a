package instance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/holding"
)

// TestAllowance guards against jobs that are accepted twice on one allowance: with the one that was received
// before the owner counted them, and with the next one.
func TestAllowance(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a := newMemoryAllowance(1 << 20)
	from := holding.Source{Queue: "q", Team: "red"}
	a.receive(holding.Allowance{Limited: true, Bytes: 100, Teams: []string{"blue"}}, a.requested(), now)
	if a.take(holding.Source{Queue: "q", Team: "blue"}, 1, true) {
		t.Error("a job of an excluded team fits although the owner can be asked")
	}
	if !a.take(from, 60, true) || a.take(from, 60, true) {
		t.Error("100 bytes are not one job of 60")
	}
	a.confirm(60)
	if a.take(from, 60, true) {
		t.Error("a job fits twice, once before and once after the owner has received it")
	}
	sent := a.requested()
	a.receive(holding.Allowance{Limited: true, Bytes: 70}, sent, now)
	if !a.take(from, 60, true) {
		t.Error("a job does not fit into a new allowance")
	}
	a.linger(60, now)
	a.receive(holding.Allowance{Limited: true, Bytes: 70}, sent, now.Add(time.Second))
	if a.take(from, 60, true) {
		t.Error("a job fits although the owner may not know the one before")
	}
	a.receive(holding.Allowance{Limited: true, Bytes: 70}, sent, now.Add(lingeringTimeout+time.Second))
	if !a.take(from, 60, true) {
		t.Error("the charge of a job that the owner has read was not returned")
	}
}

// TestAllowanceReturnsEverything guards against a charge that is not returned.
func TestAllowanceReturnsEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		a := newMemoryAllowance(0)
		allowance := holding.Allowance{Limited: true, Bytes: 1000}
		a.receive(allowance, 0, now)
		var taken []int64
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			bytes := int64(rapid.IntRange(1, 300).Draw(t, "bytes"))
			operation := rapid.IntRange(0, 4).Draw(t, "operation")
			if operation == 0 || len(taken) == 0 {
				if a.take(holding.Source{}, bytes, true) {
					taken = append(taken, bytes)
				}
				continue
			}
			last := taken[len(taken)-1]
			switch operation {
			case 1:
				a.giveBack(last)
			case 2:
				a.confirm(last)
			case 3:
				a.linger(last, now)
			default:
				a.receive(allowance, a.requested(), now)
				continue
			}
			taken = taken[:len(taken)-1]
		}
		for _, bytes := range taken {
			a.giveBack(bytes)
		}
		a.receive(allowance, a.requested(), now.Add(time.Minute))
		if a.unknown != 0 || len(a.lingering) != 0 || a.unusedBytes() != 1000 {
			t.Fatalf("%d bytes of unknown jobs are left, %d of the allowance", a.unknown, a.unusedBytes())
		}
	})
}
