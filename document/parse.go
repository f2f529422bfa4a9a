package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberrydrum/mulberrydrum/jsonc"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// MaxBytes limits the size of a document. The store holds two documents in one
// value: the current one and its predecessor.
const MaxBytes = 64 << 10

// Parse decodes and checks a document. It returns all faults in the order of their
// positions in src; the document is valid only if there are none. If the regions of
// the deployment are given, the document may not name any other.
func Parse(src []byte, regions ...string) (Document, []jsonc.Fault) {
	if len(src) > MaxBytes {
		return Document{}, []jsonc.Fault{{
			Line: 1, Column: 1,
			Message: fmt.Sprintf("the document has %d bytes", len(src)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxBytes),
		}}
	}
	var d Document
	positions, faults := jsonc.Decode(src, &d, jsonc.WithComments)
	c := checker{jsonc.NewChecker(positions, faults), regions}
	if c.IsObject() {
		c.document(&d)
	}
	return d, c.Faults()
}

// checker checks a decoded document.
type checker struct {
	*jsonc.Checker
	regions []string // of the deployment; empty if unknown
}

// document checks d and fills in the defaults.
func (c checker) document(d *Document) {
	c.name("team", string(d.Team))
	if d.Service != "" || c.Has("service") {
		c.name("service", string(d.Service))
		c.service(d)
		return
	}
	c.team(d)
}

func (c checker) name(path, value string) {
	switch {
	case !c.Has(path):
		c.AddFault(path, "the field is missing", NameRule)
	case !IsValidName(value):
		c.AddFault(path, fmt.Sprintf("%q is not a valid name", truncate(value)), NameRule)
	}
}

// team checks a team document.
func (c checker) team(d *Document) {
	const allowed = "in the document of a service; a team document has team, share, limit"
	for _, path := range []string{"open", "classes", "regions", "weigh", "cross_region_wait", "queue_limit"} {
		if c.Has(path) {
			c.AddFault(path, "the field is not allowed in a team document", allowed)
		}
	}
	if !c.Has("share") {
		d.Share = defaultShare
	}
	const maxShare = 1000
	if d.Share <= 0 || d.Share > maxShare {
		c.AddFault("share", fmt.Sprintf("the share is %v", d.Share), fmt.Sprintf("more than 0, at most %d", maxShare))
	}
	c.limit(d.Limit)
}

// limit checks a limit. Every amount is required, because an omitted one could mean
// either zero or unlimited.
func (c checker) limit(limit *task.Resources) {
	const allowed = "an object with every one of cpu_milli, memory_mb, accelerators, slots, connections"
	if limit == nil {
		c.AddFault("limit", "the field is missing", allowed)
		return
	}
	for _, a := range amountsOf(*limit) {
		if !c.Has("limit." + a.name) {
			c.AddFault("limit."+a.name, "the amount is missing", allowed)
		}
	}
	c.amounts("limit", *limit)
}

// service checks the document of one service.
func (c checker) service(d *Document) {
	for _, path := range []string{"share", "limit"} {
		if c.Has(path) {
			c.AddFault(path, "the field is not allowed in the document of a service", "in the team document, which has no field service")
		}
	}
	if !c.Has("weigh") {
		d.SchedulingPolicy = WaitingAndShare
	}
	c.oneOf("weigh", string(d.SchedulingPolicy), stringsOf(SchedulingPolicies))
	if !c.Has("cross_region_wait") {
		d.CrossRegionWait = defaultCrossRegionWait
	}
	c.duration("cross_region_wait", d.CrossRegionWait, 0, maxCrossRegionWait)
	const maxQueueLimit = 100_000
	if c.Has("queue_limit") && (d.QueueLimit < 1 || d.QueueLimit > maxQueueLimit) {
		c.AddFault("queue_limit", fmt.Sprintf("the limit is %d", d.QueueLimit), fmt.Sprintf("1 to %d waiting tasks", maxQueueLimit))
	}
	c.names("regions", d.Regions)
	for i, region := range d.Regions {
		c.Require(len(c.regions) == 0 || slices.Contains(c.regions, region), fmt.Sprintf("regions[%d]", i),
			fmt.Sprintf("%q is not a region of this deployment", truncate(region)), strings.Join(c.regions, ", "))
	}
	c.classes(d)
}

// names checks a list of names, which must not contain duplicates.
func (c checker) names(path string, names []string) {
	for i, name := range names {
		namePath := fmt.Sprintf("%s[%d]", path, i)
		if !IsValidName(name) {
			c.AddFault(namePath, fmt.Sprintf("%q is not a valid name", truncate(name)), NameRule)
		}
		if slices.Contains(names[:i], name) {
			c.AddFault(namePath, fmt.Sprintf("duplicate name %q", truncate(name)), "each name once")
		}
	}
}

func (c checker) oneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		message := fmt.Sprintf("unknown value %q", truncate(value))
		if !c.Has(path) {
			message = "the field is missing"
		}
		c.AddFault(path, message, strings.Join(allowed, ", "))
	}
}

func stringsOf[T ~string](values []T) []string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = string(v)
	}
	return texts
}

// maxQuotedBytes limits how much of an invalid value is quoted in a fault.
const maxQuotedBytes = 80

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}
