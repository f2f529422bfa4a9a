package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// Result is the result of one task, as raw bytes.
type Result struct {
	Data    []byte
	Attempt string // "<task>#<attempt>"
}

// Submit submits a job to a service of a team and waits up to wait for it to finish.
func (c *Client) Submit(ctx context.Context, team, service string, request api.SubmitRequest, wait time.Duration) (api.Job, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return api.Job{}, errkind.New(errkind.InvalidRequest, "the request cannot be encoded: %v", err)
	}
	path := requestsPath(team, service) + waitQuery(wait)
	return decode[api.Job](c.do(ctx, apiCall{method: http.MethodPost, path: path, body: body}))
}

// Status returns the state of a job, identified by
// <team>/<service>/<idempotency key>.
func (c *Client) Status(ctx context.Context, job string) (api.Job, error) {
	return c.callJob(ctx, http.MethodGet, job, "")
}

// Wait returns the state of a job when it is final or wait has passed.
func (c *Client) Wait(ctx context.Context, job string, wait time.Duration) (api.Job, error) {
	return c.callJob(ctx, http.MethodGet, job, "/wait"+waitQuery(wait))
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, job string) (api.Job, error) {
	return c.callJob(ctx, http.MethodPost, job, "/cancel")
}

// Result returns the result of the task with this index in a job.
func (c *Client) Result(ctx context.Context, job string, index int) (Result, error) {
	path, err := jobPath(job)
	if err != nil {
		return Result{}, err
	}
	response, err := c.do(ctx, apiCall{method: http.MethodGet, path: path + "/result?index=" + strconv.Itoa(index)})
	if err != nil {
		return Result{}, err
	}
	return Result{Data: response.body, Attempt: response.header.Get(api.HeaderTask)}, nil
}

func (c *Client) callJob(ctx context.Context, method, job, suffix string) (api.Job, error) {
	path, err := jobPath(job)
	if err != nil {
		return api.Job{}, err
	}
	return decode[api.Job](c.do(ctx, apiCall{method: method, path: path + suffix}))
}

func jobPath(job string) (string, error) {
	parts := strings.Split(job, "/")
	if len(parts) != 3 {
		return "", errkind.New(errkind.InvalidRequest, "invalid job ID %q", job).
			WithField("job", "<team>/<service>/<idempotency key>")
	}
	return requestsPath(parts[0], parts[1]) + "/" + url.PathEscape(parts[2]), nil
}

func requestsPath(team, service string) string {
	return "/v1/teams/" + url.PathEscape(team) + "/services/" + url.PathEscape(service) + "/requests"
}

func waitQuery(wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return "?wait=" + wait.String()
}
