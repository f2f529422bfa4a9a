package operator

import (
	"math"
	"strconv"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Default and maximum number of events in one response.
const (
	defaultEvents = 1000
	maxEvents     = 10_000
)

func (s *Server) timeline(c call) (httpjson.Response, error) {
	filter, err := s.parseFilter(c)
	if err != nil {
		return httpjson.Response{}, err
	}
	timeline, err := s.backend.Timeline(c.ctx, filter)
	if err != nil {
		return httpjson.Response{}, err
	}
	return httpjson.JSON(timeline)
}

func (s *Server) parseFilter(c call) (TimelineFilter, error) {
	query := c.URL.Query()
	filter := TimelineFilter{Task: task.ID(query.Get("task")), Team: task.Team(query.Get("team")), Limit: defaultEvents}
	if text := query.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxEvents {
			return filter, errkind.New(errkind.InvalidRequest, "invalid limit %.40q", text).
				WithField("limit", "1 to "+strconv.Itoa(maxEvents)+" events")
		}
		filter.Limit = limit
	}
	since, err := s.parseSince(query.Get("since"))
	filter.Since = since
	return filter, err
}

// parseSince parses a time, or a duration before now.
func (s *Server) parseSince(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil && ago >= 0 {
		return s.now().Add(-ago), nil
	}
	since, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return since, errkind.New(errkind.InvalidRequest, "the time %.40q cannot be parsed", text).
			WithField("since", `a time such as 2026-05-04T09:30:00Z, or a duration before now such as 5m`)
	}
	return since, nil
}

// metrics returns the metrics of this instance. Values that JSON cannot represent,
// such as the rate of a meter that has not ticked yet, are omitted.
func (s *Server) metrics(call) (httpjson.Response, error) {
	all := s.cfg.Metrics.GetAll()
	for _, values := range all {
		for name, value := range values {
			if f, ok := value.(float64); ok && (math.IsNaN(f) || math.IsInf(f, 0)) {
				delete(values, name)
			}
		}
	}
	return httpjson.JSON(all)
}
