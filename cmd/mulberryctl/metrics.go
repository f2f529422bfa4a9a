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
	Prefix string `arg:"" optional:"" help:"Only metrics whose name has this prefix."`
}

// Help implements kong.HelpProvider.
func (metricsCommand) Help() string {
	return `Examples:
  mulberryctl metrics
  mulberryctl metrics store. --operator 127.0.0.1:7071

The metrics are those of the one instance that answers; select it with
--operator. docs/OPERATIONS.md describes each metric with its unit and normal
range.`
}

// Run prints the metrics, sorted by name.
func (c metricsCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		all, err := operatorClient.Metrics(ctx)
		if err != nil {
			return err
		}
		maps.DeleteFunc(all, func(name string, _ map[string]any) bool { return !strings.HasPrefix(name, c.Prefix) })
		var lines []string
		for _, name := range slices.Sorted(maps.Keys(all)) {
			lines = append(lines, name+"\t"+formatValues(all[name]))
		}
		return env.show(all, lines...)
	})
}

// printedValues lists the values of a metric that the text output contains, in the
// order of the output. The JSON output contains all values.
var printedValues = []string{"value", "count", "min", "mean", "median", "99%", "max", "1m.rate"}

func formatValues(values map[string]any) string {
	var parts []string
	for _, name := range printedValues {
		if value, ok := values[name]; ok {
			parts = append(parts, fmt.Sprintf("%s=%v", name, roundFloat(value)))
		}
	}
	return strings.Join(parts, "\t")
}

// roundFloat formats a float with at most one decimal place and returns other values
// unchanged.
func roundFloat(value any) any {
	if f, ok := value.(float64); ok {
		return cmp.Or(strings.TrimSuffix(fmt.Sprintf("%.1f", f), ".0"), "0")
	}
	return value
}
