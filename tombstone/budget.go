package tombstone

import (
	"math"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// Limits of the cancellations of jobs that are not recorded, for one instance. Each of them takes two reads and a
// part of a write of the store, and leaves a tombstone.
type Limits struct {
	Customer Rate // of one customer: a team, or all callers of a queue without an API key
	Total    Rate // of all customers
}

// Rate is a rate with a burst.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// DefaultLimits returns limits that let the callers of a failed instance cancel what they have submitted there.
func DefaultLimits() Limits {
	return Limits{Customer: Rate{PerSecond: 5, Burst: 60}, Total: Rate{PerSecond: 20, Burst: 240}}
}

// maxCustomers bounds the customers whose use is remembered. Customers come from the operators' configuration.
const maxCustomers = 1024

// Budget limits the cancellations of jobs that are not recorded. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu        sync.Mutex
	total     bucket
	customers map[job.Origin]*bucket
}

// NewBudget returns a budget that nothing has been taken from.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, customers: make(map[job.Origin]*bucket)}
}

// customerOf returns whose budget a request is charged to.
func customerOf(o job.Origin) job.Origin {
	if o.Team != "" {
		o.Queue = ""
	}
	return o
}

// Take charges a cancellation of the given origin. If it is over a limit, Take charges nothing and returns the time
// after which it would fit.
func (b *Budget) Take(now time.Time, from job.Origin) (retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	customer := b.customers[customerOf(from)]
	if customer == nil {
		b.removeFull(now)
		customer = &bucket{}
		b.customers[customerOf(from)] = customer
	}
	if wait := max(customer.wait(now, b.limits.Customer), b.total.wait(now, b.limits.Total)); wait > 0 {
		return wait
	}
	customer.used++
	b.total.used++
	return 0
}

// GiveBack returns the charge of a cancellation that concerned a recorded job of the customer.
func (b *Budget) GiveBack(now time.Time, from job.Origin) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, charged := range []*bucket{&b.total, b.customers[customerOf(from)]} {
		if charged != nil {
			charged.used = max(0, charged.used-1)
		}
	}
}

// removeFull forgets the customers that have their whole burst, if there are many customers.
func (b *Budget) removeFull(now time.Time) {
	if len(b.customers) < maxCustomers {
		return
	}
	for origin, customer := range b.customers {
		if customer.refill(now, b.limits.Customer); customer.used == 0 {
			delete(b.customers, origin)
		}
	}
}

// bucket is the part of a burst that is in use.
type bucket struct {
	used float64
	at   time.Time // of the last refill
}

func (b *bucket) refill(now time.Time, r Rate) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.used = max(0, b.used-elapsed.Seconds()*r.PerSecond)
		b.at = now
	}
}

// wait returns the time until one more fits, 0 if it does now.
func (b *bucket) wait(now time.Time, r Rate) time.Duration {
	b.refill(now, r)
	const roundingError = 1e-6
	over := b.used + 1 - r.Burst
	if over <= roundingError {
		return 0
	}
	return time.Duration(math.Ceil(over / r.PerSecond * float64(time.Second)))
}
