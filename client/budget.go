package client

import "sync"

// Retries are limited to a fraction of the calls, so that clients do not multiply
// the load on instances that are already short of capacity.
const (
	retriesPerCall  = 0.1 // retries that each call adds to the budget
	maxSavedRetries = 5.0 // maximum and initial number of retries in the budget
)

type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxSavedRetries} }

// addCall adds the share of one call to the budget.
func (b *retryBudget) addCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerCall, maxSavedRetries)
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
