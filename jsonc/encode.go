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
	encoded, err := json.MarshalIndent(plain, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return append(encoded, '\n'), nil
}

// plainValue converts v to a value for encoding/json, with each duration as a string.
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

// plainStruct encodes the fields in declaration order, which a map would not
// preserve.
func plainStruct(v reflect.Value) (any, error) {
	var encoded []byte
	encoded = append(encoded, '{')
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
		if len(encoded) > 1 {
			encoded = append(encoded, ',')
		}
		encoded = append(append(append(encoded, '"'), name...), `":`...)
		encoded = append(encoded, value...)
	}
	return json.RawMessage(append(encoded, '}')), nil
}

func omitsEmpty(f reflect.StructField) bool {
	tag := f.Tag.Get("json")
	return len(tag) > len("omitempty") && tag[len(tag)-len("omitempty"):] == "omitempty"
}
