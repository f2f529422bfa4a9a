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
// JSON; one of them is empty where the field stands on one side only.
type Change struct {
	Path   string
	Before string
	After  string
}

// Diff lists the fields that differ, with defaults filled in, so that a default
// that is written out is no change. Classes are matched by name, so that their
// order is no change either.
func Diff(before, after Document) []Change {
	old, oldPaths := flatten(before)
	now, nowPaths := flatten(after)
	var changes []Change
	for _, path := range nowPaths {
		if old[path] != now[path] {
			changes = append(changes, Change{Path: path, Before: old[path], After: now[path]})
		}
	}
	for _, path := range oldPaths {
		if _, kept := now[path]; !kept {
			changes = append(changes, Change{Path: path, Before: old[path]})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return position(nowPaths, oldPaths, a.Path) - position(nowPaths, oldPaths, b.Path)
	})
	return changes
}

func position(now, old []string, path string) int {
	if i := slices.Index(now, path); i >= 0 {
		return i
	}
	return slices.Index(old, path)
}

// flatten returns every field of d that is not empty, by its path, and the
// paths in order.
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
		f.values[path] = textOf(v)
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

func textOf(v reflect.Value) string {
	value := v.Interface()
	if d, ok := value.(time.Duration); ok {
		value = d.String()
	}
	// The fields of a Document are of types that encoding/json can encode.
	text, _ := json.Marshal(value)
	return string(text)
}
