package catalogcheck

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// Limits are the limits on the requests of callers. A nil field is not set.
type Limits struct {
	MaxHeaderBytes *int64
	MaxBodyBytes   *int64
	HeaderTimeout  *time.Duration
	IdleTimeout    *time.Duration
}

// Configuration is a configuration in the order in which its entries are written.
type Configuration struct {
	Version  int64
	Queues   []job.Queue
	Services []job.Service
	Teams    []job.Team
	Limits   Limits
}

// Section is a part of a configuration.
type Section int

// The sections of a configuration.
const (
	General Section = iota
	Queues
	Services
	Teams
	RequestLimits
)

// Field is a property of an entry. Whole means the entry itself.
type Field int

// The fields to which findings refer.
const (
	Whole Field = iota
	Version
	Name
	Host
	Prefix
	Service
	Priority
	MaxAttempts
	Stretch
	TargetAllowance
	AdviceBase
	AdvicePerWorker
	AdviceValid
	Weight
	LimitCPU
	LimitMemory
	LimitAccelerators
	Key // Finding.Element is its index
	MaxHeaderBytes
	MaxBodyBytes
	HeaderTimeout
	IdleTimeout
)

// Place is the part of a configuration to which a finding refers.
type Place struct {
	Section Section
	Index   int // of the entry, in Queues, Services and Teams
	Field   Field
	Element int // index of a key
}

// Finding is one fault of a configuration. Its texts contain no keys.
type Finding struct {
	Place
	Message string // what is wrong
	Allowed string // what is allowed instead
}

// Check returns the faults of a configuration, in the order of its sections.
func Check(c Configuration) []Finding {
	k := checker{}
	if c.Version <= 0 {
		k.add(Place{Section: General, Field: Version}, fmt.Sprintf("the version is %d", c.Version), "a number above 0, higher than the one in force")
	}
	k.queues(c)
	k.services(c)
	k.teams(c.Teams)
	k.limits(c.Limits)
	return k.findings
}

// CheckVersion returns the fault of a configuration that changes the one in force without a higher version.
func CheckVersion(version, inForce int64) []Finding {
	if version > inForce {
		return nil
	}
	return []Finding{{
		Place: Place{Section: General, Field: Version}, Message: fmt.Sprintf("the version is %d, and %d is in force", version, inForce),
		Allowed: "a higher version for a changed configuration",
	}}
}

type checker struct{ findings []Finding }

func (k *checker) add(at Place, message, allowed string) {
	k.findings = append(k.findings, Finding{Place: at, Message: message, Allowed: allowed})
}

// notNegative reports a value below 0.
func notNegative[N int | int64 | float64 | time.Duration](k *checker, at Place, value N) {
	if value < 0 {
		k.add(at, fmt.Sprintf("the value %v is negative", value), "0 or more")
	}
}

// names reports entries without a name, and those that an entry with the same name replaces.
func (k *checker) names(section Section, names []string) {
	first := make(map[string]int)
	for i, name := range names {
		at := Place{Section: section, Index: i, Field: Name}
		if name == "" {
			k.add(at, "the name is missing", "a name")
			continue
		}
		if j, duplicate := first[name]; duplicate {
			k.add(at, fmt.Sprintf("the name %q is also that of entry %d, which is replaced", name, j), "each name once")
			continue
		}
		first[name] = i
	}
}

func namesOf[T any](entries []T, name func(T) string) []string {
	out := make([]string, len(entries))
	for i, entry := range entries {
		out[i] = name(entry)
	}
	return out
}

type address struct{ host, prefix string }

func (k *checker) queues(c Configuration) {
	k.names(Queues, namesOf(c.Queues, func(q job.Queue) string { return q.Name }))
	services := make(map[string]struct{}, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = struct{}{}
	}
	first := make(map[address]int)
	for i := range c.Queues {
		q := &c.Queues[i]
		at := func(f Field) Place { return Place{Section: Queues, Index: i, Field: f} }
		k.address(q, at)
		if j, shadowed := first[address{q.Host, q.Prefix}]; shadowed {
			k.add(at(Prefix), fmt.Sprintf("the queue never matches: entry %d, %q, has the same host and prefix", j, c.Queues[j].Name), "each prefix of a host once")
		} else {
			first[address{q.Host, q.Prefix}] = i
		}
		if q.Service == "" {
			k.add(at(Service), "the queue has no service, so that its jobs never start", "the name of a service")
		} else if _, known := services[q.Service]; !known {
			k.add(at(Service), fmt.Sprintf("there is no service %q, so that jobs of the queue never start", q.Service), "the name of a service in this configuration")
		}
		k.terms(q, at)
	}
}

// address reports a host or a prefix that no request can have.
func (k *checker) address(q *job.Queue, at func(Field) Place) {
	switch {
	case q.Host == "":
		k.add(at(Host), "the queue never matches: it has no host", "the host of the requests")
	case strings.Contains(q.Host, ":"):
		k.add(at(Host), "the queue never matches: the port of a request is ignored", "a host without a port")
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		k.add(at(Prefix), fmt.Sprintf("the queue never matches: no path begins with %q", q.Prefix), "a prefix that begins with /")
	}
}

// terms reports values with which the jobs of a queue cannot run as meant.
func (k *checker) terms(q *job.Queue, at func(Field) Place) {
	notNegative(k, at(Priority), q.Priority)
	notNegative(k, at(MaxAttempts), q.MaxAttempts)
	notNegative(k, at(TargetAllowance), q.TargetAllowance)
	if q.Stretch < 0 || (q.Stretch > 0 && q.Stretch < 1) {
		k.add(at(Stretch), fmt.Sprintf("the value %v counts as 1", q.Stretch), "1 or more, or none")
	}
	if a := q.Advice; a != nil {
		notNegative(k, at(AdviceBase), a.Base)
		notNegative(k, at(AdvicePerWorker), a.PerWorker)
		if a.Valid <= 0 {
			k.add(at(AdviceValid), "tickets are never valid, so that jobs of the queue never start", "more than 0")
		}
	}
}

func (k *checker) services(c Configuration) {
	k.names(Services, namesOf(c.Services, func(s job.Service) string { return s.Name }))
	used := make(map[string]struct{})
	for _, q := range c.Queues {
		used[q.Service] = struct{}{}
	}
	for i, s := range c.Services {
		// A spare service is kept for later use, when queues will be moved to it.
		if _, found := used[s.Name]; !found && s.Name != "" && !s.IsSpare {
			k.add(Place{Section: Services, Index: i}, fmt.Sprintf("no queue uses the service %q", s.Name), "a service that a queue names, or a spare one")
		}
	}
}

type keyOwner struct {
	team, element int
}

func (k *checker) teams(teams []job.Team) {
	k.names(Teams, namesOf(teams, func(t job.Team) string { return t.Name }))
	owners := make(map[job.KeyDigest]keyOwner)
	empty := job.DigestKey("")
	for i, t := range teams {
		at := func(f Field) Place { return Place{Section: Teams, Index: i, Field: f} }
		notNegative(k, at(Weight), t.Weight)
		notNegative(k, at(LimitCPU), t.Limit.CPUMilli)
		notNegative(k, at(LimitMemory), t.Limit.MemoryMB)
		notNegative(k, at(LimitAccelerators), t.Limit.Accelerators)
		if t.Weight == 0 && cmp.Or(t.Limit.CPUMilli, t.Limit.MemoryMB, t.Limit.Accelerators) > 0 {
			k.add(at(Weight), "the weight is 0, so that the team has no share, but it has a limit", "a weight above 0, or no limit")
		}
		for element, key := range t.Keys {
			place := Place{Section: Teams, Index: i, Field: Key, Element: element}
			owner, used := owners[key]
			switch {
			case key == empty:
				k.add(place, "the key is empty", "a key that only the team knows")
			case used && owner.team == i:
				k.add(place, fmt.Sprintf("the key is the same as key %d of the team", owner.element), "each key once")
			case used:
				k.add(place, fmt.Sprintf("the key is also key %d of team %q", owner.element, teams[owner.team].Name), "each key for one team")
			default:
				owners[key] = keyOwner{i, element}
			}
		}
	}
}

func (k *checker) limits(l Limits) {
	at := func(f Field) Place { return Place{Section: RequestLimits, Field: f} }
	positive(k, at(MaxHeaderBytes), l.MaxHeaderBytes)
	positive(k, at(MaxBodyBytes), l.MaxBodyBytes)
	positive(k, at(HeaderTimeout), l.HeaderTimeout)
	positive(k, at(IdleTimeout), l.IdleTimeout)
}

// positive reports a limit that is set but lets no request through.
func positive[N int64 | time.Duration](k *checker, at Place, value *N) {
	if value != nil && *value <= 0 {
		k.add(at, fmt.Sprintf("the limit is %v, which no request meets", *value), "more than 0, or no value for the default")
	}
}
