package store

import (
	"context"
	"errors"
	"time"
)

// Hedge configures hedged commits, which send a transaction again while earlier attempts are still in
// flight. Every attempt has the same compares, so that at most one takes effect.
type Hedge struct {
	Delay       time.Duration // delay between two attempts
	MaxAttempts int           // maximum number of attempts; all of them may be in flight at the same time
}

type attemptResult struct {
	result TxnResult
	err    error
}

// CommitHedged executes a transaction and sends it again if the reply is late or lost. The compares of
// the transaction must no longer hold once it has taken effect. If the compares of an attempt fail
// because an earlier attempt has succeeded, the result has Succeeded false, and the caller finds its
// own records in Current. Earlier attempts are not canceled, since a slow store does not answer a new
// attempt sooner.
func CommitHedged(ctx context.Context, s Store, txn Txn, h Hedge) (TxnResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, h.MaxAttempts)
	inFlight := 0
	send := func() {
		inFlight++
		go func() {
			result, err := s.Commit(ctx, txn)
			results <- attemptResult{result, err}
		}()
	}
	send()
	ticker := time.NewTicker(h.Delay)
	defer ticker.Stop()
	unclear := false
	for attempts := 1; ; {
		select {
		case r := <-results:
			inFlight--
			if r.err == nil {
				return r.result, nil
			}
			unclear = unclear || errors.Is(r.err, ErrUnclear)
			if inFlight == 0 {
				return TxnResult{}, mergeErrors(unclear, r.err)
			}
		case <-ticker.C:
			if attempts < h.MaxAttempts {
				attempts++
				send()
			}
		}
	}
}

// mergeErrors returns the last error, with ErrUnclear in place of its class if any attempt may have
// taken effect.
func mergeErrors(unclear bool, last error) error {
	if unclear && !errors.Is(last, ErrUnclear) {
		return errors.Join(ErrUnclear, errors.New(last.Error()))
	}
	return last
}
