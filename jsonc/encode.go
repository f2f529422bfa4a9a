package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

// Marshal returns v, a struct or a pointer to one, as indented JSON. Unlike
// encoding/json it writes a time.Duration as "9s", the form that Decode reads.
func Marshal(v any) ([]byte, error) {
	plain, err := plainValue(reflect.ValueOf(v))
	if err != nil {
		return nil, err
	}
	out, err := json.MarshalIndent(plain, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return append(out, '\n'), nil
}

// plainValue returns v with each duration replaced by its text.
func plainValue(v reflect.Value) (any, error) {
	switch {
	case v.Type() == durationType:
		return time.Duration(v.Int()).String(), nil
	case v.Type() == bytesType || v.Type() == reflect.TypeFor[time.Time]():
		return v.Interface(), nil
	case v.Kind() == reflect.Pointer:
		if v.IsNil() {
			return nil, nil
		}
		return plainValue(v.Elem())
	case v.Kind() == reflect.Slice:
		return plainSlice(v)
	case v.Kind() == reflect.Struct:
		return plainStruct(v)
	}
	return v.Interface(), nil
}

func plainSlice(v reflect.Value) (any, error) {
	elements := make([]any, v.Len())
	for i := range elements {
		element, err := plainValue(v.Index(i))
		if err != nil {
			return nil, err
		}
		elements[i] = element
	}
	return elements, nil
}

// plainStruct keeps the order of the fields, which a map would lose.
func plainStruct(v reflect.Value) (any, error) {
	var out []byte
	out = append(out, '{')
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := FieldName(field)
		if name == "" || (omitsEmpty(field) && v.Field(i).IsZero()) {
			continue
		}
		plain, err := plainValue(v.Field(i))
		if err != nil {
			return nil, err
		}
		value, err := json.Marshal(plain)
		if err != nil {
			return nil, fmt.Errorf("encode field %s: %w", name, err)
		}
		if len(out) > 1 {
			out = append(out, ',')
		}
		out = append(append(append(out, '"'), name...), `":`...)
		out = append(out, value...)
	}
	return json.RawMessage(append(out, '}')), nil
}

func omitsEmpty(f reflect.StructField) bool {
	tag := f.Tag.Get("json")
	return len(tag) > len("omitempty") && tag[len(tag)-len("omitempty"):] == "omitempty"
}
