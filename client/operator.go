package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// Document returns the document of a service, or, with an empty service, that
// of a whole team.
func (c *Client) Document(ctx context.Context, team, service string) (api.Document, error) {
	return decode[api.Document](c.do(ctx, apiCall{method: http.MethodGet, path: documentPath(team, service)}))
}

// Documents lists every document without its source.
func (c *Client) Documents(ctx context.Context) (api.Documents, error) {
	return decode[api.Documents](c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/documents"}))
}

// Apply replaces a document if its revision equals expected, and waits up to wait
// for the new revision to be in force on every live member.
func (c *Client) Apply(ctx context.Context, team, service string, source []byte, expected int64, wait time.Duration) (api.Document, error) {
	query := url.Values{"expect": {strconv.FormatInt(expected, 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	path := documentPath(team, service) + "?" + query.Encode()
	return decode[api.Document](c.do(ctx, apiCall{method: http.MethodPut, path: path, body: source}))
}

// Diff compares source with the stored document.
func (c *Client) Diff(ctx context.Context, team, service string, source []byte) (api.Diff, error) {
	path := documentPath(team, service) + "/diff"
	return decode[api.Diff](c.do(ctx, apiCall{method: http.MethodPost, path: path, body: source}))
}

// GrantKey creates an API key.
func (c *Client) GrantKey(ctx context.Context, request api.GrantRequest) (api.GrantedKey, error) {
	return post[api.GrantedKey](ctx, c, "/v1/keys", request)
}

// WithdrawKey revokes an API key.
func (c *Client) WithdrawKey(ctx context.Context, team, id string) (api.Key, error) {
	path := "/v1/keys/" + url.PathEscape(team) + "/" + url.PathEscape(id)
	return decode[api.Key](c.do(ctx, apiCall{method: http.MethodDelete, path: path}))
}

// Keys lists the keys of a team, or of all teams.
func (c *Client) Keys(ctx context.Context, team string) (api.Keys, error) {
	path := "/v1/keys?" + url.Values{"team": {team}}.Encode()
	return decode[api.Keys](c.do(ctx, apiCall{method: http.MethodGet, path: path}))
}

// Drain starts or ends the drain of an entry instance or a worker.
func (c *Client) Drain(ctx context.Context, request api.DrainRequest) (api.DrainStatus, error) {
	return post[api.DrainStatus](ctx, c, "/v1/drain", request)
}

// ForceOwnership makes a member take over a unit whose owner and successors have
// failed.
func (c *Client) ForceOwnership(ctx context.Context, request api.ForceOwnershipRequest) (api.Ownership, error) {
	return post[api.Ownership](ctx, c, "/v1/ownership/force", request)
}

// Workers lists the workers.
func (c *Client) Workers(ctx context.Context) (api.Workers, error) {
	return decode[api.Workers](c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/workers"}))
}

// Shares lists the usage and the entitlement of each team.
func (c *Client) Shares(ctx context.Context) (api.Shares, error) {
	return decode[api.Shares](c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/shares"}))
}

// Members lists the live entry instances.
func (c *Client) Members(ctx context.Context) (api.Members, error) {
	return decode[api.Members](c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/members"}))
}

// TimelineFilter selects events. Empty fields select all.
type TimelineFilter struct {
	Task, Team string
	Since      string // time in RFC 3339, or duration before now
	Limit      int
}

// Timeline returns the merged timeline of all members.
func (c *Client) Timeline(ctx context.Context, filter TimelineFilter) (api.Timeline, error) {
	query := url.Values{}
	for name, value := range map[string]string{"task": filter.Task, "team": filter.Team, "since": filter.Since} {
		if value != "" {
			query.Set(name, value)
		}
	}
	if filter.Limit > 0 {
		query.Set("limit", strconv.Itoa(filter.Limit))
	}
	return decode[api.Timeline](c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/timeline?" + query.Encode()}))
}

// Metrics returns the metrics of the instance that serves the call.
func (c *Client) Metrics(ctx context.Context) (map[string]map[string]any, error) {
	return decode[map[string]map[string]any](c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/metrics"}))
}

func post[T any](ctx context.Context, c *Client, path string, request any) (T, error) {
	body, err := json.Marshal(request)
	if err != nil {
		var zero T
		return zero, errkind.New(errkind.InvalidRequest, "the request cannot be encoded: %v", err)
	}
	return decode[T](c.do(ctx, apiCall{method: http.MethodPost, path: path, body: body}))
}

func documentPath(team, service string) string {
	path := "/v1/documents/" + url.PathEscape(team)
	if service != "" {
		path += "/services/" + url.PathEscape(service)
	}
	return path
}
