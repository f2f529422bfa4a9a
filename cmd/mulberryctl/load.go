package main

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/load"
)

// loadCommand simulates the scheduling policies with a generated load.
type loadCommand struct {
	Seed     uint64        `default:"1" help:"Seed of the load; equal seeds give equal loads."`
	Teams    int           `default:"6" help:"Number of teams."`
	Workers  int           `default:"50" help:"Number of workers."`
	Duration time.Duration `default:"30m" help:"Virtual time to simulate."`
	Policy   string        `default:"fair" enum:"fair,deficit,priority,fifo" help:"Policy to compare with fifo and priority (fair, deficit, priority, fifo)."`
	Load     float64       `default:"0.9" help:"Offered load as a fraction of the capacity, without the flood of one team."`
}

// Run simulates the policy and the baseline policies and prints a comparison.
func (c loadCommand) Run(env *environment) error {
	results, err := load.Compare(load.Config{
		Seed: c.Seed, Teams: c.Teams, Workers: c.Workers, Duration: c.Duration, Policy: c.Policy, Load: c.Load,
	})
	if err != nil {
		return err
	}
	if env.Output == "json" {
		return load.WriteJSON(env.stdout, results)
	}
	return load.WriteTable(env.stdout, results)
}
