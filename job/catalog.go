package job

import (
	"crypto/sha256"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// AdvicePolicy restricts the steps of a queue to the workers for which an advice service
// issues tickets, and describes the duration of its calls.
type AdvicePolicy struct {
	Base      time.Duration `json:"b"` // duration of one call
	PerWorker time.Duration `json:"w"` // additional duration for each worker named in a call
	Valid     time.Duration `json:"v"` // validity of a ticket
}

// Terms are the properties of a queue that its jobs need to run.
type Terms struct {
	Service         string        `json:"s"`           // whose workers run the tasks
	Priority        int           `json:"p,omitempty"` // 0 is the most urgent
	MaxAttempts     int           `json:"m,omitempty"` // number of failed runs of a task after which its job fails
	Stretch         float64       `json:"x,omitempty"` // factor applied to the estimated run time of a job's critical path; values below 1 count as 1
	TargetAllowance time.Duration `json:"a,omitempty"` // allowance in addition to the run time times Stretch
	Advice          *AdvicePolicy `json:"d,omitempty"` // nil: every worker of the service may run the steps
}

// Queue is a queue in the operators' configuration.
type Queue struct {
	Name            string
	Host            string        // of the requests that are routed to the queue
	Prefix          string        // path prefix of these requests
	Service         string        // whose workers run the tasks
	Priority        int           // 0 is the most urgent
	MaxAttempts     int           // number of failed runs of a task after which its job fails
	Stretch         float64       // factor applied to the estimated run time of a job's critical path; values below 1 count as 1
	TargetAllowance time.Duration // allowance in addition to the run time times Stretch
	Advice          *AdvicePolicy // nil: every worker of the service may run the steps
	Open            bool          // requests need no API key
}

// Terms returns the terms of the queue.
func (q *Queue) Terms() Terms {
	return Terms{Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, TargetAllowance: q.TargetAllowance, Advice: q.Advice}
}

// Service is a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool // its workers reject tasks that exceed their capacity
	IsSpare          bool // the machines of its workers are powered off
}

// Team is a customer with its API keys, fair-share weight and resource limit.
type Team struct {
	Name   string
	Weight float64
	Limit  task.Resources // of the running tasks on all workers; 0 for no limit
	Keys   []KeyDigest
}

// KeyDigest is the SHA-256 digest of an API key. A Catalog does not hold the keys
// themselves.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(secret string) KeyDigest { return sha256.Sum256([]byte(secret)) }

// Catalog is an immutable version of the operators' configuration.
type Catalog struct {
	Version      int64
	Revision     int64 // of the store when it was read
	MaxBodyBytes int64 // maximum size of the body of a caller's request

	MaxHeaderBytes int           // maximum size of the request line and headers of a caller's request
	HeaderTimeout  time.Duration // for receiving the headers
	IdleTimeout    time.Duration // after which an idle connection of a caller is closed

	queues   map[string]*Queue
	byHost   map[string][]*Queue
	services map[string]Service
	teams    map[string]*Team
	keys     map[KeyDigest]*Team
}

// NewCatalog returns a catalog. An entry replaces an earlier one with the same name.
func NewCatalog(version, revision int64, queues []Queue, services []Service, teams []Team) *Catalog {
	c := &Catalog{
		Version:  version,
		Revision: revision,
		queues:   make(map[string]*Queue, len(queues)),
		byHost:   make(map[string][]*Queue),
		services: make(map[string]Service, len(services)),
		teams:    make(map[string]*Team, len(teams)),
		keys:     make(map[KeyDigest]*Team),
	}
	for i := range queues {
		q := &queues[i]
		c.queues[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for i := range teams {
		t := &teams[i]
		c.teams[t.Name] = t
		for _, k := range t.Keys {
			c.keys[k] = t
		}
	}
	return c
}

// Route returns the queue of a host with the longest prefix that matches a path, and the
// rest of the path.
func (c *Catalog) Route(host, path string) (q *Queue, rest string, found bool) {
	for _, candidate := range c.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) && (q == nil || len(candidate.Prefix) > len(q.Prefix)) {
			q = candidate
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// Queue returns a queue by its name, or nil.
func (c *Catalog) Queue(name string) *Queue { return c.queues[name] }

// Service returns a service by its name.
func (c *Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Team returns a team by its name, or nil.
func (c *Catalog) Team(name string) *Team { return c.teams[name] }

// TeamCount returns the number of teams.
func (c *Catalog) TeamCount() int { return len(c.teams) }

// TeamOfKey returns the team to which a key belongs, or nil.
func (c *Catalog) TeamOfKey(secret string) *Team { return c.keys[DigestKey(secret)] }
