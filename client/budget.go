package client

import "sync"

// Retries are limited to a fraction of the calls, so that clients do not multiply
// the load on instances that are already short of capacity.
const (
	budgetShare = 0.1 // retries that each call adds to the budget
	budgetMax   = 5.0 // maximum and initial number of retries in the budget
)

type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetMax} }

// earn adds the share of one call to the budget.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetShare, budgetMax)
}

// spend takes one retry from the budget and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
