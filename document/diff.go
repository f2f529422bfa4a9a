package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/jsonc"
)

// Change is one field that differs between two documents. Before and After are
// JSON; one of them is empty if only one of the documents has the field.
type Change struct {
	Path   string
	Before string
	After  string
}

// Diff lists the fields that differ. It compares documents with defaults filled in,
// so an explicit default value is not a change. Classes are matched by name, so
// reordering them is not a change either.
func Diff(before, after Document) []Change {
	oldValues, oldPaths := flatten(before)
	newValues, newPaths := flatten(after)
	var changes []Change
	for _, path := range newPaths {
		if oldValues[path] != newValues[path] {
			changes = append(changes, Change{Path: path, Before: oldValues[path], After: newValues[path]})
		}
	}
	for _, path := range oldPaths {
		if _, found := newValues[path]; !found {
			changes = append(changes, Change{Path: path, Before: oldValues[path]})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return indexOf(newPaths, oldPaths, a.Path) - indexOf(newPaths, oldPaths, b.Path)
	})
	return changes
}

// indexOf returns the index of path in newPaths, or in oldPaths if newPaths does not
// contain it.
func indexOf(newPaths, oldPaths []string, path string) int {
	if i := slices.Index(newPaths, path); i >= 0 {
		return i
	}
	return slices.Index(oldPaths, path)
}

// flatten returns the JSON of every non-zero field of d by its path, and the paths
// in the order of the fields.
func flatten(d Document) (map[string]string, []string) {
	f := flattener{values: make(map[string]string)}
	f.add("", reflect.ValueOf(d))
	return f.values, f.paths
}

type flattener struct {
	values map[string]string
	paths  []string
}

func (f *flattener) add(path string, v reflect.Value) {
	switch {
	case v.IsZero() && path != "":
	case v.Kind() == reflect.Pointer:
		f.add(path, v.Elem())
	case v.Kind() == reflect.Struct:
		f.addFields(path, v)
	case v.Type() == reflect.TypeFor[[]Class]():
		for _, class := range v.Interface().([]Class) {
			f.add(fmt.Sprintf("%s[%s]", path, class.Name), reflect.ValueOf(class))
		}
	default:
		f.values[path] = encodeJSON(v)
		f.paths = append(f.paths, path)
	}
}

func (f *flattener) addFields(path string, v reflect.Value) {
	for i := range v.NumField() {
		name := jsonc.FieldName(v.Type().Field(i))
		if path != "" {
			name = path + "." + name
		}
		f.add(name, v.Field(i))
	}
}

func encodeJSON(v reflect.Value) string {
	value := v.Interface()
	if d, ok := value.(time.Duration); ok {
		value = d.String()
	}
	// encoding/json can encode the types of all fields of a Document.
	text, _ := json.Marshal(value)
	return string(text)
}
