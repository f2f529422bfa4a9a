package document

import (
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Limits of the fields of a class.
const (
	maxCrossRegionWait = time.Hour
	maxAnswerRun       = 15 * time.Minute // short, because the caller waits on an open connection
	maxBatchRun        = 30 * 24 * time.Hour
	maxTasksPerJob     = 10_000
	maxClasses         = 200
	maxCommandBytes    = 4096
	maxAmount          = 1 << 40 // keeps sums over the fleet far from an int64 overflow
)

func (c checker) classes(d *Document) {
	if len(d.Classes) == 0 || len(d.Classes) > maxClasses {
		c.AddFault("classes", fmt.Sprintf("the service has %d classes", len(d.Classes)), fmt.Sprintf("1 to %d classes", maxClasses))
	}
	firstIndex := make(map[string]int)
	for i := range d.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		class := &d.Classes[i]
		if firstAt, duplicate := firstIndex[class.Name]; duplicate && class.Name != "" {
			line := c.Fault(fmt.Sprintf("classes[%d].name", firstAt), "", "").Line
			c.AddFault(path+".name", fmt.Sprintf("duplicate class name %q, first on line %d", truncate(class.Name), line), "each class name once")
		} else {
			firstIndex[class.Name] = i
		}
		c.class(path, class)
		if d.Open && len(class.MaySubmit) > 0 {
			c.AddFault(path+".may_submit", "an open queue accepts work without a key, so it cannot require a role",
				"open: false, or a class without may_submit")
		}
	}
}

func (c checker) class(path string, class *Class) {
	c.name(path+".name", class.Name)
	c.oneOf(path+".kind", string(class.Kind), stringsOf(task.Kinds))
	if !c.Has(path + ".urgency") {
		class.Urgency = task.Normal
	}
	c.oneOf(path+".urgency", string(class.Urgency), stringsOf(task.Urgencies))
	c.size(path, class)
	c.count(path, class)
	c.run(path, class)
	if class.Command == "" || len(class.Command) > maxCommandBytes {
		c.AddFault(path+".command", "the command is missing or too long", fmt.Sprintf("1 to %d bytes", maxCommandBytes))
	}
	c.names(path+".may_submit", class.MaySubmit)
}

func (c checker) size(path string, class *Class) {
	if !c.Has(path + ".size") {
		c.AddFault(path+".size", "the field is missing", "an object with at least one of cpu_milli, memory_mb, accelerators, slots")
		return
	}
	c.amounts(path+".size", class.Size)
	class.Size.Connections = max(class.Size.Connections, 0)
	withoutConnections := class.Size
	withoutConnections.Connections = 0
	if withoutConnections.IsZero() {
		c.AddFault(path+".size", "a task of this size occupies no capacity, so any number of tasks would fit on a worker",
			"more than 0 of at least one of cpu_milli, memory_mb, accelerators, slots")
	}
	if !c.Has(path + ".max_size") {
		class.MaxSize = class.Size
		return
	}
	c.amounts(path+".max_size", class.MaxSize)
	for _, a := range amountsOf(class.MaxSize) {
		if size := a.get(class.Size); a.value < size {
			c.AddFault(path+".max_size."+a.name, fmt.Sprintf("the amount %d is less than the amount in size", a.value), fmt.Sprintf("%d or more", size))
		}
	}
}

func (c checker) count(path string, class *Class) {
	if !c.Has(path + ".max_count") {
		class.MaxCount = defaultMaxCount
	}
	minCount := 1
	if class.Kind == task.Gang {
		minCount = 2
	}
	if class.MaxCount < minCount || class.MaxCount > maxTasksPerJob {
		c.AddFault(path+".max_count", fmt.Sprintf("the count is %d", class.MaxCount), fmt.Sprintf("%d to %d tasks in a job of kind %s", minCount, maxTasksPerJob, class.Kind))
	}
}

func (c checker) run(path string, class *Class) {
	maxRunPath := path + ".max_run"
	switch {
	case class.Kind == task.LongLived && c.Has(maxRunPath):
		c.AddFault(maxRunPath, "a long-lived service runs until it is cancelled", "leave the field out for kind service")
	case class.Kind == task.LongLived:
	case !c.Has(maxRunPath):
		c.AddFault(maxRunPath, "the field is missing", `a duration such as "9s" for every kind but service`)
	case class.Kind == task.Answer:
		c.duration(maxRunPath, class.MaxRun, time.Millisecond, maxAnswerRun)
	default:
		c.duration(maxRunPath, class.MaxRun, time.Millisecond, maxBatchRun)
	}
}

func (c checker) duration(path string, value, shortest, longest time.Duration) {
	if value < shortest || value > longest {
		c.AddFault(path, fmt.Sprintf("the duration is %s", value), fmt.Sprintf("%s to %s", shortest, longest))
	}
}

// amount is the amount of one resource in a task.Resources.
type amount struct {
	name  string // as in documents
	value int64
	get   func(task.Resources) int64
}

func amountsOf(r task.Resources) []amount {
	amounts := []amount{
		{name: "cpu_milli", get: func(r task.Resources) int64 { return r.CPUMilli }},
		{name: "memory_mb", get: func(r task.Resources) int64 { return r.MemoryMB }},
		{name: "accelerators", get: func(r task.Resources) int64 { return r.Accelerators }},
		{name: "slots", get: func(r task.Resources) int64 { return r.Slots }},
		{name: "connections", get: func(r task.Resources) int64 { return r.Connections }},
	}
	for i := range amounts {
		amounts[i].value = amounts[i].get(r)
	}
	return amounts
}

func (c checker) amounts(path string, r task.Resources) {
	for _, a := range amountsOf(r) {
		if a.value < 0 || a.value > maxAmount {
			c.AddFault(path+"."+a.name, fmt.Sprintf("the amount is %d", a.value), fmt.Sprintf("0 to %d", int64(maxAmount)))
		}
	}
}
