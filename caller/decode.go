package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Limits of a job that apply regardless of its document. They keep the product of
// size and count far below the largest int64.
const (
	maxCount      = 100_000
	maxAmount     = 1 << 40
	maxRegions    = 16
	maxClassBytes = 63
)

// decodeSubmit decodes the body of a submission and rejects values that no
// document can allow.
func decodeSubmit(body []byte) (api.SubmitRequest, error) {
	request := api.SubmitRequest{Count: 1}
	if err := httpjson.Decode(body, &request); err != nil {
		return request, err
	}
	return request, checkSubmit(request)
}

func checkSubmit(request api.SubmitRequest) error {
	if err := checkKey("idempotency_key", request.IdempotencyKey); err != nil {
		return err
	}
	switch {
	case request.Class == "" || len(request.Class) > maxClassBytes:
		return invalidField("class", "the class is empty or too long", "a class of the service, at most "+strconv.Itoa(maxClassBytes)+" characters")
	case request.Count < 1 || request.Count > maxCount:
		return invalidField("count", "a job cannot have "+strconv.Itoa(request.Count)+" tasks", "1 to "+strconv.Itoa(maxCount))
	case request.DeclaredRun < 0:
		return invalidField("declared_run", "the run time is negative", "0s or more")
	case len(request.Regions) > maxRegions:
		return invalidField("regions", "there are too many regions", "at most "+strconv.Itoa(maxRegions))
	case request.Size != nil && !isWithinMaxAmount(*request.Size):
		return invalidField("size", "an amount is negative or above the maximum", "0 to "+strconv.Itoa(maxAmount)+" of each resource")
	}
	return nil
}

func isWithinMaxAmount(size task.Resources) bool {
	maximum := task.Resources{CPUMilli: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount, Slots: maxAmount, Connections: maxAmount}
	return !size.HasNegative() && size.Fits(maximum)
}

func invalidField(field, message, limit string) error {
	return errkind.New(errkind.InvalidRequest, "%s", message).WithField(field, limit)
}

// newSpec converts request to the specification of a job. Fields that are set from
// the document or the API key are left empty.
func newSpec(r *http.Request, request api.SubmitRequest) task.Spec {
	spec := task.Spec{
		Team:           task.Team(r.PathValue("team")),
		Service:        task.Service(r.PathValue("service")),
		Class:          request.Class,
		IdempotencyKey: request.IdempotencyKey,
		Count:          request.Count,
		DeclaredRun:    time.Duration(request.DeclaredRun),
		Deadline:       request.Deadline,
		ReviewBy:       request.ReviewBy,
		Regions:        request.Regions,
		Payload:        request.Payload,
		PayloadDigest:  workDigest(request),
	}
	if request.Size != nil {
		spec.Size = *request.Size
	}
	return spec
}

// workDigest returns the digest that identifies the requested work. The deadline is
// excluded, because a repeated submission of the same work has a later one.
func workDigest(request api.SubmitRequest) string {
	request.Deadline = time.Time{}
	request.ReviewBy = request.ReviewBy.UTC()
	if request.Size != nil && request.Size.IsZero() {
		request.Size = nil
	}
	// The error is always nil: all field types of SubmitRequest can be encoded.
	canonical, _ := json.Marshal(request)
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}
