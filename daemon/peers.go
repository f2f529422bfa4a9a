package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// peerHandler serves the calls of the other entry instances.
type peerHandler struct{ *engine }

// Handle passes a request to the control loop.
func (h *peerHandler) Handle(ctx context.Context, from string, request control.PeerRequest) (control.PeerReply, error) {
	return h.loop.Call(ctx, from, request)
}

// Timeline returns the events of this process as JSON.
func (h *peerHandler) Timeline(_ context.Context, taskID task.ID, team task.Team, since time.Time) ([]byte, error) {
	return json.Marshal(h.recorder.Events(timeline.Filter{Task: taskID, Team: team, From: since}))
}
