package document

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/jsonc"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const validClass = `{"name": "check", "kind": "durable", "size": {"slots": 1}, "max_run": "5m", "command": "check"}`

func service(fields string) string {
	return `{"team": "pipes", "service": "nozzles", ` + fields + `}`
}

// TestFaults guards against accepting a document that cannot be applied, and against
// a fault that does not name its field.
func TestFaults(t *testing.T) {
	class := func(old, replacement string) string {
		return service(`"classes": [` + strings.Replace(validClass, old, replacement, 1) + `]`)
	}
	const team = `{"team": "pipes", "limit": {"cpu_milli": 1, "memory_mb": 1, "accelerators": 0, "slots": 1, "connections": 1}`
	cases := []struct{ name, src, path string }{
		{"no team", `{"service": "a", "classes": [` + validClass + `]}`, "team"},
		{"team in capitals", `{"team": "Pipes", "service": "a", "classes": [` + validClass + `]}`, "team"},
		{"empty service", `{"team": "pipes", "service": "", "classes": [` + validClass + `]}`, "service"},
		{"share of a service", service(`"share": 2, "classes": [` + validClass + `]`), "share"},
		{"limit of a service", service(`"limit": {"slots": 1}, "classes": [` + validClass + `]`), "limit"},
		{"classes of a team", team + `, "classes": []}`, "classes"},
		{"zero share", team + `, "share": 0}`, "share"},
		{"negative share", team + `, "share": -1}`, "share"},
		{"no limit", `{"team": "pipes"}`, "limit"},
		{"limit without connections", strings.Replace(team, `, "connections": 1`, "", 1) + `}`, "limit.connections"},
		{"negative limit", strings.Replace(team, `"slots": 1`, `"slots": -1`, 1) + `}`, "limit.slots"},
		{"no classes", service(`"classes": []`), "classes"},
		{"duplicate class name", service(`"classes": [` + validClass + `, ` + validClass + `]`), "classes[1].name"},
		{"unknown kind", class("durable", "eternal"), "classes[0].kind"},
		{"no kind", class(`"kind": "durable",`, ""), "classes[0].kind"},
		{"unknown urgency", class(`"size"`, `"urgency": "asap", "size"`), "classes[0].urgency"},
		{"no size", class(`"size": {"slots": 1},`, ""), "classes[0].size"},
		{"size of connections only", class(`"slots": 1`, `"connections": 1`), "classes[0].size"},
		{"size beyond any fleet", class(`"slots": 1`, `"slots": 9000000000000000000`), "classes[0].size.slots"},
		{"max_size below size", class(`"max_run"`, `"max_size": {"cpu_milli": 5}, "max_run"`), "classes[0].max_size.slots"},
		{"no max_run", class(`"max_run": "5m",`, ""), "classes[0].max_run"},
		{"max_run of a service", class("durable", "service"), "classes[0].max_run"},
		{"answer with max_run above the maximum", strings.Replace(class("durable", "answer"), "5m", "1h", 1), "classes[0].max_run"},
		{"gang of one", class("durable", "gang"), "classes[0].max_count"},
		{"no command", class(`"command": "check"`, `"command": ""`), "classes[0].command"},
		{"required role on an open queue", service(`"open": true, "classes": [` + strings.Replace(validClass, `"max_run"`, `"may_submit": ["ops"], "max_run"`, 1) + `]`), "classes[0].may_submit"},
		{"duplicate region", service(`"regions": ["a", "a"], "classes": [` + validClass + `]`), "regions[1]"},
		{"unknown weigh", service(`"weigh": "luck", "classes": [` + validClass + `]`), "weigh"},
		{"negative wait", service(`"cross_region_wait": "-1s", "classes": [` + validClass + `]`), "cross_region_wait"},
		{"zero queue limit", service(`"queue_limit": 0, "classes": [` + validClass + `]`), "queue_limit"},
		{"document above the size limit", strings.Repeat(" ", MaxBytes+1), ""},
	}
	for _, c := range cases {
		_, faults := Parse([]byte(c.src))
		if len(faults) != 1 || faults[0].Path != c.path || faults[0].Line < 1 || faults[0].Column < 1 || faults[0].Allowed == "" {
			t.Errorf("%s: faults = %v, want one at %q", c.name, faults, c.path)
		}
	}
	for _, valid := range []string{team + `}`, service(`"classes": [` + validClass + `]`)} {
		if _, faults := Parse([]byte(valid)); len(faults) > 0 {
			t.Errorf("%s: %v", valid, faults)
		}
	}
}

func mustParse(t interface{ Fatalf(string, ...any) }, src string) Document {
	d, faults := Parse([]byte(src))
	if len(faults) > 0 {
		t.Fatalf("%s: %v", src, faults)
	}
	return d
}

// TestDiff guards against a change that is not listed, and against reordered classes
// and explicit default values being listed as changes.
func TestDiff(t *testing.T) {
	second := strings.Replace(validClass, `"check"`, `"span"`, 1)
	before := mustParse(t, service(`"classes": [`+validClass+`, `+second+`]`))
	same := mustParse(t, service(`"weigh": "waiting_and_share", "classes": [`+second+`, `+validClass+`]`))
	if changes := Diff(before, same); len(changes) > 0 {
		t.Errorf("changes = %v, want none", changes)
	}
	third := strings.Replace(validClass, "5m", "6m", 1)
	after := mustParse(t, service(`"open": true, "classes": [`+third+`]`))
	changes := Diff(before, after)
	got := map[string]Change{}
	for _, c := range changes {
		got[c.Path] = c
	}
	if got["classes[check].max_run"] != (Change{"classes[check].max_run", `"5m0s"`, `"6m0s"`}) ||
		got["open"] != (Change{"open", "", "true"}) ||
		got["classes[span].kind"] != (Change{"classes[span].kind", `"durable"`, ""}) {
		t.Errorf("changes = %v", changes)
	}
}

// TestDiffAgreesWithMarshal checks that Diff reports a difference if and only if the
// JSON of the two documents differs.
func TestDiffAgreesWithMarshal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Document {
			d := Document{Team: "pipes", Service: "nozzles", Open: rapid.Bool().Draw(t, label), QueueLimit: rapid.IntRange(0, 2).Draw(t, label)}
			for _, name := range []string{"a", "b"}[:rapid.IntRange(0, 2).Draw(t, label)] {
				d.Classes = append(d.Classes, Class{Name: name, MaxRun: time.Duration(rapid.IntRange(0, 2).Draw(t, label)) * time.Second})
			}
			return d
		}
		before, after := draw("before"), draw("after")
		beforeJSON, _ := jsonc.Marshal(before)
		afterJSON, _ := jsonc.Marshal(after)
		if differ := len(Diff(before, after)) > 0; differ != (string(beforeJSON) != string(afterJSON)) {
			t.Fatalf("Diff reports a difference: %v, for\n%s\n%s", differ, beforeJSON, afterJSON)
		}
	})
}

// TestComplete guards against accepting work that the document does not allow, and
// against omitted amounts staying zero.
func TestComplete(t *testing.T) {
	d := mustParse(t, service(`"regions": ["north", "south"], "classes": [{"name": "check", "kind": "durable",
		"size": {"slots": 1, "memory_mb": 64}, "max_size": {"slots": 4, "memory_mb": 128}, "max_count": 3,
		"max_run": "5m", "command": "check", "may_submit": ["engineer"]}]`))
	valid := task.Spec{Class: "check", Size: task.Resources{Slots: 4}, Count: 3, DeclaredRun: time.Minute, Regions: []string{"south"}}
	spec, err := d.Complete(valid, "engineer")
	if err != nil || spec.Kind != task.Durable || spec.Urgency != task.Normal || spec.Command != "check" ||
		spec.Size != (task.Resources{Slots: 4, MemoryMB: 64}) {
		t.Errorf("spec = %+v, error %v", spec, err)
	}
	cases := []struct {
		name   string
		change func(*task.Spec)
		kind   errkind.Kind
		field  string
	}{
		{"class", func(s *task.Spec) { s.Class = "other" }, errkind.UnknownClass, "class"},
		{"size", func(s *task.Spec) { s.Size.MemoryMB = 129 }, errkind.InvalidRequest, "size.memory_mb"},
		{"accelerator", func(s *task.Spec) { s.Size.Accelerators = 1 }, errkind.InvalidRequest, "size.accelerators"},
		{"negative size", func(s *task.Spec) { s.Size.Slots = -1 }, errkind.InvalidRequest, "size.slots"},
		{"count", func(s *task.Spec) { s.Count = 4 }, errkind.InvalidRequest, "count"},
		{"run", func(s *task.Spec) { s.DeclaredRun = time.Hour }, errkind.InvalidRequest, "declared_run"},
		{"region", func(s *task.Spec) { s.Regions = []string{"east"} }, errkind.InvalidRequest, "regions"},
	}
	for _, c := range cases {
		invalid := valid
		c.change(&invalid)
		_, err := d.Complete(invalid, "engineer")
		if err == nil || err.Kind != c.kind || err.Field != c.field || err.Limit == "" {
			t.Errorf("%s: error = %v", c.name, err)
		}
	}
	if _, err := d.Complete(valid, "clerk"); err == nil || err.Kind != errkind.KeyRefused {
		t.Errorf("wrong role: error = %v", err)
	}
}

// TestLastChange guards against a conflict that shows fields which the last change
// did not modify.
func TestLastChange(t *testing.T) {
	r := Record{
		Previous: service(`"classes": [` + validClass + `]`),
		Source:   service(`"queue_limit": 7, "classes": [` + validClass + `]`),
	}
	if changes := r.LastChange(); len(changes) != 1 || changes[0] != (Change{"queue_limit", "", "7"}) {
		t.Errorf("changes = %v", changes)
	}
}

// TestPageDescribesEveryField guards against a field that docs/documents.md does
// not describe.
func TestPageDescribesEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/documents.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, typ := range []reflect.Type{reflect.TypeFor[Document](), reflect.TypeFor[Class]()} {
		for i := range typ.NumField() {
			if name := jsonc.FieldName(typ.Field(i)); !strings.Contains(string(page), "| `"+name+"` |") {
				t.Errorf("the page has no row for %s of %s", name, typ.Name())
			}
		}
	}
}

// FuzzParse guards against a panic, and against an accepted document that is
// rejected or changed after Marshal.
func FuzzParse(f *testing.F) {
	f.Add([]byte(service(`"classes": [` + validClass + `]`)))
	f.Add([]byte(`{"team": "a", "limit": {}}`))
	f.Add([]byte(`{"team": "a", "service": 1, "classes": [{"name": 1}, null, {"size": {"slots": -1}}]}`))
	f.Add([]byte("{\"team\": \"\xff\", // x\n}"))
	f.Fuzz(func(t *testing.T, src []byte) {
		d, faults := Parse(src)
		if len(faults) > 0 {
			return
		}
		printed, err := jsonc.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, faults := Parse(printed)
		if len(faults) > 0 || len(Diff(d, reparsed)) > 0 {
			t.Errorf("marshaled document %s: faults %v, changes %v", printed, faults, Diff(d, reparsed))
		}
	})
}
