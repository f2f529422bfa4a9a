package api

import (
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/jsonc"
)

// ErrorReply is the body of every error response.
type ErrorReply struct {
	Error Error `json:"error"`
}

// Error is the JSON form of an error that is sent to a caller or an operator.
type Error struct {
	Kind       errkind.Kind   `json:"kind"`
	Message    string         `json:"message"`
	Field      string         `json:"field,omitempty"`
	Limit      string         `json:"limit,omitempty"`
	RetryAfter Duration       `json:"retry_after,omitempty"`
	Advice     errkind.Advice `json:"advice"`
	Fate       errkind.Fate   `json:"fate"`
	Faults     []jsonc.Fault  `json:"faults,omitempty"`   // of a document
	Conflict   *Conflict      `json:"conflict,omitempty"` // of a change that conflicts with a concurrent one
}

// ErrorFrom converts e to its JSON form.
func ErrorFrom(e *errkind.Error) Error {
	return Error{
		Kind:       e.Kind,
		Message:    e.Message,
		Field:      e.Field,
		Limit:      e.Limit,
		RetryAfter: Duration(e.RetryAfter),
		Advice:     errkind.ResponseFor(e.Kind).Advice,
		Fate:       e.Fate(),
	}
}
