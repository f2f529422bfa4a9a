package instance

import (
	"slices"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/holding"
)

// memoryAllowance is the memory of jobs that this instance may accept without asking the owner. What it
// accepts counts until the owner knows of it.
type memoryAllowance struct {
	mu        sync.Mutex
	last      holding.Allowance // the last one that was received
	unknown   int64             // of jobs that the owner may not know yet
	lingering []lingeringJob    // part of unknown: the owner did not confirm that it has received these jobs
	confirmed int64             // sum of what the owner has confirmed
	reflected int64             // value of confirmed that the last allowance reflects
}

// lingeringJob is the memory of a job that the owner learns of from the store.
type lingeringJob struct {
	bytes int64
	since time.Time
}

// lingeringTimeout is the time after which the owner has read a job from the store. Its watch lags by a second.
const lingeringTimeout = 3 * time.Second

func newMemoryAllowance(limit int64) *memoryAllowance {
	return &memoryAllowance{last: holding.InitialAllowance(limit)}
}

// take charges a job and reports whether it fits. Jobs of the teams and queues that the owner has excluded do not
// fit if the owner can be asked.
func (a *memoryAllowance) take(from holding.Source, bytes int64, canAsk bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.last.Limited {
		return true
	}
	if canAsk && (slices.Contains(a.last.Teams, from.Team) || slices.Contains(a.last.Queues, from.Queue)) {
		return false
	}
	if a.unknown+a.confirmed-a.reflected+bytes > a.last.Bytes {
		return false
	}
	a.unknown += bytes
	return true
}

// giveBack returns the charge of a job that is not recorded.
func (a *memoryAllowance) giveBack(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unknown -= bytes
}

// confirm returns the charge of a job that the owner has received.
func (a *memoryAllowance) confirm(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unknown -= bytes
	a.confirmed += bytes
}

// linger leaves the charge of a job until the owner must have read it from the store.
func (a *memoryAllowance) linger(bytes int64, now time.Time) {
	if bytes == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lingering = append(a.lingering, lingeringJob{bytes, now})
}

// requested returns what the owner has confirmed, for the call of receive with the response to a request that is
// sent after it.
func (a *memoryAllowance) requested() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmed
}

// receive applies an allowance that reflects what the owner had confirmed.
func (a *memoryAllowance) receive(allowance holding.Allowance, confirmed int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last, a.reflected = allowance, confirmed
	a.lingering = slices.DeleteFunc(a.lingering, func(l lingeringJob) bool {
		known := now.Sub(l.since) > lingeringTimeout
		if known {
			a.unknown -= l.bytes
		}
		return known
	})
}

// unusedBytes returns what is left.
func (a *memoryAllowance) unusedBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, a.last.Bytes-a.unknown-(a.confirmed-a.reflected))
}
