package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/mulberrydrum/mulberrydrum/instance"
	"github.com/mulberrydrum/mulberrydrum/platform/front"
)

// teamPastUse is the past use of a team as the owner of a platform's partition shows it.
type teamPastUse struct {
	Team    string  `json:"team"`
	Share   float64 `json:"share"`    // average share of the capacity in the dominant resource
	ShiftMs float64 `json:"shift_ms"` // delay of its waiting work in the order of placement
}

// errNoPastUse means that no instance shows past use.
var errNoPastUse = errors.New("none of the instances shows past use: the owner is not among them, past use is disabled there, or nothing has run")

// showPastUse prints the past use from the metrics of the first instance that has it: only the owner does.
func showPastUse(env *environment, addresses []string) error {
	ctx, cancel := context.WithTimeout(env.ctx, env.Timeout)
	defer cancel()
	var failures []error
	for _, address := range addresses {
		gauges, err := front.FetchGauges(ctx, address)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		list := pastUseOf(gauges)
		if len(list) == 0 {
			continue
		}
		lines := []string{"TEAM\tSHARE\tSHIFT"}
		for _, t := range list {
			lines = append(lines, fmt.Sprintf("%s\t%.4f\t%.0fms", t.Team, t.Share, t.ShiftMs))
		}
		return env.show(list, lines...)
	}
	return env.fail(errors.Join(append(failures, errNoPastUse)...))
}

// pastUseOf returns the past use that gauges show, the highest share first.
func pastUseOf(gauges map[string]float64) []teamPastUse {
	var list []teamPastUse
	for name, share := range gauges {
		if team, found := strings.CutPrefix(name, instance.PastUseSharePrefix); found {
			list = append(list, teamPastUse{Team: team, Share: share, ShiftMs: gauges[instance.PastUseShiftPrefix+team]})
		}
	}
	slices.SortFunc(list, func(a, b teamPastUse) int {
		return cmp.Or(-cmp.Compare(a.Share, b.Share), cmp.Compare(a.Team, b.Team))
	})
	return list
}
