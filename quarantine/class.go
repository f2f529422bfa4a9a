package quarantine

import "time"

// maxClasses is the maximum number of classes that are tracked. It is well above the number of
// classes in the documents of 97 teams.
const maxClasses = 4096

// classHistory holds the most recent successes of a class on two different workers. Two are enough
// to decide whether the class succeeds on a worker other than a given one.
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

// runsElsewhere reports whether the class has succeeded on another worker since the given time.
func (c *classHistory) runsElsewhere(worker string, since time.Time) bool {
	found := c.latest
	if found.worker == worker {
		found = c.latestOnOther
	}
	return found.worker != "" && !found.at.Before(since)
}

func (m *Monitor) classOf(key Class) *classHistory {
	c, known := m.classes[key]
	if !known {
		m.evictClass()
		c = &classHistory{}
		m.classes[key] = c
	}
	return c
}

// evictClass makes room for one more class if the limit is reached. It evicts the class with the
// oldest last success.
func (m *Monitor) evictClass() {
	if len(m.classes) < maxClasses {
		return
	}
	var oldest Class
	var at time.Time
	for key, c := range m.classes {
		if at.IsZero() || c.latest.at.Before(at) {
			oldest, at = key, c.latest.at
		}
	}
	delete(m.classes, oldest)
}
