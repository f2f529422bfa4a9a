package jsonc

import (
	"fmt"
	"reflect"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Describer is implemented by types that describe their valid values for fault
// messages.
type Describer interface{ Describe() string }

// describe returns a description of the values that t accepts.
func describe(t reflect.Type) string {
	if describer, ok := reflect.New(t).Interface().(Describer); ok {
		return describer.Describe()
	}
	switch {
	case t == durationType:
		return `a duration such as "9s" or "250ms"`
	case t == reflect.TypeFor[time.Time]():
		return `a time such as "2026-05-04T09:30:00Z"`
	case t == bytesType:
		return "bytes in base64"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describe(t.Elem())
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	case reflect.Slice:
		return "an array, each element " + describe(t.Elem())
	case reflect.Struct:
		_, names := fieldsOf(t)
		return "an object with " + strings.Join(names, ", ")
	default:
		return fmt.Sprintf("a whole number of at most %d bits", t.Bits())
	}
}

// maxQuotedBytes limits how much of an invalid value is quoted in a fault.
const maxQuotedBytes = 40

func describeValue(v hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		return truncate(string(value))
	}
	return "no value"
}

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	end := maxQuotedBytes
	for end > 0 && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + "..."
}
