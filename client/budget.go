package client

import "sync"

// Retries are limited to a fraction of the calls, so that clients do not multiply
// the load on instances that are already short of capacity.
const (
	retryTokensPerCall = 0.1 // tokens that each call adds to the budget
	maxRetryTokens     = 5.0 // maximum and initial number of tokens in the budget
)

// retryBudget is a token bucket; each retry takes one token.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// addCall adds the tokens of one call to the budget.
func (b *retryBudget) addCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryTokensPerCall, maxRetryTokens)
}

// takeRetry takes one token from the budget and reports whether one was available.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
