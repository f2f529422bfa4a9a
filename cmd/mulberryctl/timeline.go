package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

type timelineCommand struct {
	Task  string `help:"Only events of this task."`
	Team  string `help:"Only events of this team."`
	Since string `help:"Only events since this time (RFC 3339) or this long ago, such as 5m."`
	Limit int    `help:"Maximum number of events; the latest ones are shown." default:"1000"`
}

// Help implements kong.HelpProvider.
func (timelineCommand) Help() string {
	return `Examples:
  mulberryctl timeline --task dijle-engineering/piping/n-1042/0
  mulberryctl timeline --team dijle-engineering --since 5m`
}

// Run prints the events.
func (c timelineCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		filter := client.TimelineFilter{Task: c.Task, Team: c.Team, Since: c.Since, Limit: c.Limit}
		merged, err := operatorClient.Timeline(ctx, filter)
		if err != nil {
			return err
		}
		lines := make([]string, 0, len(merged.Events)+1)
		for _, e := range merged.Events {
			lines = append(lines, eventLine(e))
		}
		if len(merged.Missing) > 0 {
			lines = append(lines, "no answer from "+strings.Join(merged.Missing, ", "))
		}
		return env.show(merged, lines...)
	})
}

func eventLine(e timeline.Event) string {
	line := fmt.Sprintf("%s.%d\t%s\t%s", e.Clock.Wall.Format(time.RFC3339Nano), e.Clock.Logical, e.Instance, e.Type)
	for _, field := range []struct{ name, value string }{
		{"team", string(e.Team)}, {"task", string(e.Task)}, {"attempt", formatNonZero(uint64(e.Attempt))}, {"worker", e.Worker},
		{"partition", e.Partition}, {"epoch", formatNonZero(e.Epoch)}, {"revision", formatNonZero(uint64(e.Revision))},
		{"key", e.KeyID}, {"kind", e.Kind}, {"detail", e.Detail},
	} {
		if field.value != "" {
			line += " " + field.name + "=" + field.value
		}
	}
	return line
}

// formatNonZero returns n in decimal, or "" for 0.
func formatNonZero(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}
