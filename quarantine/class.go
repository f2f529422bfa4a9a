package quarantine

import "time"

// maxClasses is the maximum number of tracked classes. It is well above the number of classes in the
// configuration documents of 97 teams.
const maxClasses = 4096

// classHistory holds the most recent successes of a class on two different workers. Two are
// sufficient to determine whether the class succeeded on a worker other than a given one.
type classHistory struct {
	latest, latestOnOther successRecord
}

type successRecord struct {
	worker string
	at     time.Time
}

func (c *classHistory) recordSuccess(now time.Time, worker string) {
	if c.latest.worker != worker {
		c.latestOnOther = c.latest
	}
	c.latest = successRecord{worker, now}
}

// succeededElsewhere reports whether the class succeeded on another worker since the given time.
func (c *classHistory) succeededElsewhere(worker string, since time.Time) bool {
	elsewhere := c.latest
	if elsewhere.worker == worker {
		elsewhere = c.latestOnOther
	}
	return elsewhere.worker != "" && !elsewhere.at.Before(since)
}

// getOrCreateClass returns the history of a class. It may evict another class to add a new one.
func (m *Monitor) getOrCreateClass(key Class) *classHistory {
	c, known := m.classes[key]
	if !known {
		m.evictClassIfFull()
		c = &classHistory{}
		m.classes[key] = c
	}
	return c
}

// evictClassIfFull evicts the class with the oldest last success if the limit is reached.
func (m *Monitor) evictClassIfFull() {
	if len(m.classes) < maxClasses {
		return
	}
	var oldest Class
	var oldestAt time.Time
	for key, c := range m.classes {
		if oldestAt.IsZero() || c.latest.at.Before(oldestAt) {
			oldest, oldestAt = key, c.latest.at
		}
	}
	delete(m.classes, oldest)
}
