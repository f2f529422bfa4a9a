package client

import "sync"

// Retries are bounded to a share of the calls, so that clients do not multiply
// the load of instances that are already short of capacity.
const (
	budgetShare = 0.1 // retries earned by each call
	budgetMax   = 5.0 // retries that may be saved up, and the amount at the start
)

type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetMax} }

// earn counts one call.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetShare, budgetMax)
}

// spend reports whether one more retry is within the budget.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
