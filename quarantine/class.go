package quarantine

import "time"

// classesLimit bounds the classes remembered, well above the classes that the
// documents of 97 teams describe.
const classesLimit = 4096

// class remembers the last success of a class of work on two different
// workers, which is enough to tell whether it runs on a worker other than a
// given one.
type class struct {
	latest, other seen
}

type seen struct {
	worker string
	at     time.Time
}

func (c *class) succeededOn(now time.Time, worker string) {
	if c.latest.worker != worker {
		c.other = c.latest
	}
	c.latest = seen{worker, now}
}

// runsElsewhere reports whether the class succeeded since a time on a worker
// other than the named one.
func (c *class) runsElsewhere(worker string, since time.Time) bool {
	found := c.latest
	if found.worker == worker {
		found = c.other
	}
	return found.worker != "" && !found.at.Before(since)
}

func (m *Monitor) classOf(key Class) *class {
	c, known := m.classes[key]
	if !known {
		m.forgetClass()
		c = &class{}
		m.classes[key] = c
	}
	return c
}

// forgetClass makes room for one class by dropping the one whose last success
// is the oldest.
func (m *Monitor) forgetClass() {
	if len(m.classes) < classesLimit {
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
