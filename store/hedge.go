package store

import (
	"context"
	"errors"
	"time"
)

// Hedge says when a transaction is sent again although its answer may still
// come. Every try has the same conditions, so that at most one takes effect.
type Hedge struct {
	After time.Duration // between one try and the next
	Most  int           // tries under way at the same time
}

type tryResult struct {
	result TxnResult
	err    error
}

// CommitHedged executes a transaction whose conditions no longer hold once it has
// taken effect. A try that is refused because an earlier one has succeeded is
// reported as not succeeded, with the records as they are: the caller recognises
// its own. Answers are lost and late at times, and a store that answers slowly
// does not answer sooner when it is asked anew, so that earlier tries go on.
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

// worstOf returns an error that says whether any try may have taken effect.
func worstOf(unclear bool, last error) error {
	if unclear && !errors.Is(last, ErrUnclear) {
		return errors.Join(ErrUnclear, errors.New(last.Error()))
	}
	return last
}
