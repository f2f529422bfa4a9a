package httpjson

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// TestErrorsReportFate guards against an error of the backend, or a deadline that
// passed inside it, being reported as "not run".
func TestErrorsReportFate(t *testing.T) {
	cases := []struct {
		err  error
		kind errkind.Kind
		fate errkind.Fate
	}{
		{errors.New("password=x"), errkind.Internal, errkind.FateUnknown},
		{fmt.Errorf("submit: %w", context.DeadlineExceeded), errkind.OutcomeUnknown, errkind.FateUnknown},
		{fmt.Errorf("submit: %w", errkind.New(errkind.QueueFull, "full").WithRetryAfter(1500*time.Millisecond)), errkind.QueueFull, errkind.FateNotRun},
		{errkind.New(errkind.StoreUnavailable, "lost").WithFate(errkind.FateUnknown), errkind.StoreUnavailable, errkind.FateUnknown},
	}
	for _, c := range cases {
		response := ErrorResponse(c.err)
		var reply api.ErrorReply
		if err := json.Unmarshal(response.Body, &reply); err != nil {
			t.Fatal(err)
		}
		if reply.Error.Kind != c.kind || reply.Error.Fate != c.fate || strings.Contains(string(response.Body), "password") {
			t.Errorf("response to %v is %s", c.err, response.Body)
		}
		if reply.Error.RetryAfter != 0 && response.Header.Get("Retry-After") != "2" {
			t.Errorf("Retry-After = %q, want 2 (rounded up)", response.Header.Get("Retry-After"))
		}
	}
}
