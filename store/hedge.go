package store

import (
	"context"
	"errors"
	"time"
)

// Hedge configures hedged commits, which send a transaction again while earlier attempts are still
// in flight. Every attempt has the same conditions, so that at most one takes effect.
type Hedge struct {
	After time.Duration // delay between two attempts
	Most  int           // maximum number of attempts; all of them may be in flight at the same time
}

type tryResult struct {
	result TxnResult
	err    error
}

// CommitHedged executes a transaction whose conditions no longer hold once it has taken effect. If
// an attempt fails its compares because an earlier one has succeeded, the result is not succeeded
// and holds the current records, among which the caller recognizes its own. Replies may be lost or
// late. Earlier attempts are not canceled, since a slow store does not answer a new attempt sooner.
func CommitHedged(ctx context.Context, s Store, txn Txn, h Hedge) (TxnResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan tryResult, h.Most)
	underway := 0
	send := func() {
		underway++
		go func() {
			result, err := s.Commit(ctx, txn)
			results <- tryResult{result, err}
		}()
	}
	send()
	next := time.NewTicker(h.After)
	defer next.Stop()
	unclear := false
	for tries := 1; ; {
		select {
		case r := <-results:
			underway--
			if r.err == nil {
				return r.result, nil
			}
			unclear = unclear || errors.Is(r.err, ErrUnclear)
			if underway == 0 {
				return TxnResult{}, worstOf(unclear, r.err)
			}
		case <-next.C:
			if tries < h.Most {
				tries++
				send()
			}
		}
	}
}

// worstOf returns the last error, marked with ErrUnclear if any attempt may have taken effect.
func worstOf(unclear bool, last error) error {
	if unclear && !errors.Is(last, ErrUnclear) {
		return errors.Join(ErrUnclear, errors.New(last.Error()))
	}
	return last
}
