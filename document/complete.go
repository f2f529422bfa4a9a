package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Complete returns spec with the fields that the document defines: kind, urgency,
// command, and the size and regions that the submission omits. It returns an error
// for a submission that the document does not allow for a key with this role. The
// role is empty for a submission without a key, which an open queue accepts.
func (d Document) Complete(spec task.Spec, role string) (task.Spec, *errkind.Error) {
	class, ok := d.Class(spec.Class)
	if !ok {
		return spec, errkind.New(errkind.UnknownClass, "service %s/%s has no class %q", d.Team, d.Service, truncate(spec.Class)).
			WithField("class", strings.Join(d.classNames(), ", "))
	}
	if len(class.MaySubmit) > 0 && !slices.Contains(class.MaySubmit, role) {
		return spec, errkind.New(errkind.KeyRefused, "a key with role %q may not submit to class %s", role, class.Name).
			WithField("class", "a key with role "+strings.Join(class.MaySubmit, " or "))
	}
	spec.Kind, spec.Urgency, spec.Command = class.Kind, class.Urgency, class.Command
	if spec.Count == 0 {
		spec.Count = 1
	}
	if spec.Count < 0 || spec.Count > class.MaxCount {
		return spec, invalidRequest("count", fmt.Sprintf("a job of class %s cannot have %d tasks", class.Name, spec.Count), fmt.Sprintf("1 to %d", class.MaxCount))
	}
	if class.MaxRun > 0 && spec.DeclaredRun > class.MaxRun {
		return spec, invalidRequest("declared_run", fmt.Sprintf("a task of class %s cannot run for %s", class.Name, spec.DeclaredRun), "at most "+class.MaxRun.String())
	}
	if err := completeSize(&spec, class); err != nil {
		return spec, err
	}
	return spec, d.completeRegions(&spec)
}

func invalidRequest(field, message, limit string) *errkind.Error {
	return errkind.New(errkind.InvalidRequest, "%s", message).WithField(field, limit)
}

// completeSize checks the requested amounts against the class and sets those that
// the submission omits to the amounts of the class.
func completeSize(spec *task.Spec, class Class) *errkind.Error {
	for _, a := range amountsOf(spec.Size) {
		if limit := a.get(class.MaxSize); a.value < 0 || a.value > limit {
			return invalidRequest("size."+a.name, fmt.Sprintf("a task of class %s cannot have %d", class.Name, a.value), fmt.Sprintf("0 to %d", limit))
		}
	}
	for _, resource := range []struct{ requested, classAmount *int64 }{
		{&spec.Size.CPUMilli, &class.Size.CPUMilli},
		{&spec.Size.MemoryMB, &class.Size.MemoryMB},
		{&spec.Size.Accelerators, &class.Size.Accelerators},
		{&spec.Size.Slots, &class.Size.Slots},
		{&spec.Size.Connections, &class.Size.Connections},
	} {
		if *resource.requested == 0 {
			*resource.requested = *resource.classAmount
		}
	}
	return nil
}

func (d Document) completeRegions(spec *task.Spec) *errkind.Error {
	if len(spec.Regions) == 0 {
		spec.Regions = slices.Clone(d.Regions)
		return nil
	}
	for _, region := range spec.Regions {
		if len(d.Regions) > 0 && !slices.Contains(d.Regions, region) {
			return invalidRequest("regions", fmt.Sprintf("the service may not run in region %q", truncate(region)), strings.Join(d.Regions, ", "))
		}
	}
	return nil
}

func (d Document) classNames() []string {
	names := make([]string, len(d.Classes))
	for i, c := range d.Classes {
		names[i] = c.Name
	}
	return names
}
