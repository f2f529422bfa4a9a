package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberrydrum/mulberrydrum/jsonc"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// MaxBytes bounds the source of a document. The store keeps it twice in one
// value, together with its predecessor.
const MaxBytes = 64 << 10

// Parse reads and checks a document. All faults are returned, in the order in
// which they stand in the source; the document is valid only without any. Where
// the regions of the deployment are given, the document may name no other.
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
	regions []string // of the deployment; empty where they are not known
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
		c.Add(path, "the field is missing", NameRule)
	case !IsName(value):
		c.Add(path, fmt.Sprintf("%q is not a name", clip(value)), NameRule)
	}
}

// team checks a team document.
func (c checker) team(d *Document) {
	const elsewhere = "in the document of a service; a team document has team, share, limit"
	for _, path := range []string{"open", "classes", "regions", "weigh", "cross_region_wait", "queue_limit"} {
		if c.Has(path) {
			c.Add(path, "the field has no place in a team document", elsewhere)
		}
	}
	if !c.Has("share") {
		d.Share = defaultShare
	}
	const maxShare = 1000
	if d.Share <= 0 || d.Share > maxShare {
		c.Add("share", fmt.Sprintf("the share is %v", d.Share), fmt.Sprintf("more than 0, at most %d", maxShare))
	}
	c.limit(d.Limit)
}

// limit demands every amount, because "left out" could mean none or no limit.
func (c checker) limit(limit *task.Resources) {
	const allowed = "an object with every one of cpu_milli, memory_mb, accelerators, slots, connections"
	if limit == nil {
		c.Add("limit", "the field is missing", allowed)
		return
	}
	for _, a := range amountsOf(*limit) {
		if !c.Has("limit." + a.name) {
			c.Add("limit."+a.name, "the amount is missing", allowed)
		}
	}
	c.amounts("limit", *limit)
}

// service checks the document of one service.
func (c checker) service(d *Document) {
	for _, path := range []string{"share", "limit"} {
		if c.Has(path) {
			c.Add(path, "the field has no place in the document of a service", "in the team document, which leaves service out")
		}
	}
	if !c.Has("weigh") {
		d.Weigh = WaitingAndShare
	}
	c.oneOf("weigh", string(d.Weigh), textsOf(Weighs))
	if !c.Has("cross_region_wait") {
		d.CrossRegionWait = defaultCrossRegionWait
	}
	c.duration("cross_region_wait", d.CrossRegionWait, 0, maxCrossRegionWait)
	const maxQueueLimit = 100_000
	if c.Has("queue_limit") && (d.QueueLimit < 1 || d.QueueLimit > maxQueueLimit) {
		c.Add("queue_limit", fmt.Sprintf("the limit is %d", d.QueueLimit), fmt.Sprintf("1 to %d waiting tasks", maxQueueLimit))
	}
	c.names("regions", d.Regions)
	for i, region := range d.Regions {
		c.Require(len(c.regions) == 0 || slices.Contains(c.regions, region), fmt.Sprintf("regions[%d]", i),
			fmt.Sprintf("%q is not a region of this deployment", clip(region)), strings.Join(c.regions, ", "))
	}
	c.classes(d)
}

// names checks a list of names, each of which may stand once.
func (c checker) names(path string, names []string) {
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !IsName(name) {
			c.Add(at, fmt.Sprintf("%q is not a name", clip(name)), NameRule)
		}
		if slices.Contains(names[:i], name) {
			c.Add(at, fmt.Sprintf("%q stands twice", clip(name)), "each name once")
		}
	}
}

func (c checker) oneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		message := fmt.Sprintf("%q is not known", clip(value))
		if !c.Has(path) {
			message = "the field is missing"
		}
		c.Add(path, message, strings.Join(allowed, ", "))
	}
}

func textsOf[T ~string](values []T) []string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = string(v)
	}
	return texts
}

// shownBytes bounds how much of a wrong value is repeated in a fault.
const shownBytes = 80

func clip(s string) string {
	if len(s) <= shownBytes {
		return s
	}
	return strings.ToValidUTF8(s[:shownBytes], "") + "..."
}
