package analysis

import (
	"cmp"
	"fmt"
	"slices"
)

// HourlyUse is the use of a team in one hour.
type HourlyUse struct {
	Team  string  `json:"team"`
	Hour  string  `json:"hour"`  // for example 2026-12-06T23Z
	Share float64 `json:"share"` // average share of the capacity in its dominant resource over the whole hour
}

// useKey identifies the use of a team in an hour.
type useKey struct{ team, hour string }

// addUse adds a line about the use of a team. Each line has the total of the hour so far, of which the
// highest counts: the total of a new owner may be lower than the last one of its predecessor.
func (a *Analyzer) addUse(r record) {
	key := useKey{r.fields["team"], r.fields["hour"]}
	a.use[key] = max(a.use[key], r.number("hour_share_s"))
}

// hourlyUse returns the use of all teams, by hour and in descending order within an hour.
func (a *Analyzer) hourlyUse() []HourlyUse {
	const secondsPerHour = 3600
	var list []HourlyUse
	for key, total := range a.use {
		list = append(list, HourlyUse{Team: key.team, Hour: key.hour, Share: total / secondsPerHour})
	}
	slices.SortFunc(list, func(x, y HourlyUse) int {
		return cmp.Or(cmp.Compare(x.Hour, y.Hour), -cmp.Compare(x.Share, y.Share), cmp.Compare(x.Team, y.Team))
	})
	return list
}

// useLines returns the text of the use by hour and team; none if the log has no lines about it.
func useLines(list []HourlyUse) []string {
	if len(list) == 0 {
		return nil
	}
	lines := []string{"", "use by hour and team (average share of the capacity)", "hour\tteam\tshare"}
	for _, u := range list {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%.4f", u.Hour, u.Team, u.Share))
	}
	return lines
}
