package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/mulberrydrum/mulberrydrum/client"
)

type metricsCommand struct {
	Prefix string `arg:"" optional:"" help:"Only metrics whose name begins with this."`
}

// Help shows how to use the command.
func (metricsCommand) Help() string {
	return `Examples:
  mulberryctl metrics
  mulberryctl metrics store. --operator 127.0.0.1:7071

The metrics are those of the one instance that answers, so name it with
--operator. docs/OPERATIONS.md has each metric with its unit and normal range.`
}

// Run prints the metrics by name.
func (c metricsCommand) Run(env *environment) error {
	return env.asOperator(0, func(ctx context.Context, operators *client.Client) error {
		all, err := operators.Metrics(ctx)
		if err != nil {
			return err
		}
		maps.DeleteFunc(all, func(name string, _ map[string]any) bool { return !strings.HasPrefix(name, c.Prefix) })
		var lines []string
		for _, name := range slices.Sorted(maps.Keys(all)) {
			lines = append(lines, name+"\t"+valuesText(all[name]))
		}
		return env.show(all, lines...)
	})
}

// shownValues are the values of a metric in the order in which they are
// printed. Those left out are in the output as JSON.
var shownValues = []string{"value", "count", "min", "mean", "median", "99%", "max", "1m.rate"}

func valuesText(values map[string]any) string {
	var parts []string
	for _, name := range shownValues {
		if value, ok := values[name]; ok {
			parts = append(parts, fmt.Sprintf("%s=%v", name, roundedValue(value)))
		}
	}
	return strings.Join(parts, "\t")
}

func roundedValue(value any) any {
	if f, ok := value.(float64); ok {
		return cmp.Or(strings.TrimSuffix(fmt.Sprintf("%.1f", f), ".0"), "0")
	}
	return value
}
