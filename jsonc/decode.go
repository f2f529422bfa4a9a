package jsonc

import (
	"bytes"
	"encoding"
	"encoding/base64"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Comments states whether a source text may contain comments and trailing commas.
type Comments bool

// The values of Comments.
const (
	WithComments    Comments = true
	WithoutComments Comments = false
)

// Decode decodes src into the struct that target points to. Unknown and duplicate
// names, null and values of the wrong type are faults; all of them are returned.
// Durations are written as "9s", times in RFC 3339 and bytes in base64. Fields
// that are absent from src keep their value.
func Decode(src []byte, target any, comments Comments) (*Positions, []Fault) {
	d := decoder{positions: newPositions(src)}
	if fault, ok := checkNesting(d.positions); !ok {
		return d.positions, []Fault{fault}
	}
	root, err := hujson.Parse(src)
	if err != nil {
		return d.positions, []Fault{syntaxFault(d.positions, err)}
	}
	if comments == WithoutComments && !root.IsStandard() {
		d.addFault(0, "", "comments and trailing commas are not allowed here", "standard JSON")
		return d.positions, d.faults
	}
	_, d.positions.isObject = root.Value.(*hujson.Object)
	d.value(root, "", reflect.ValueOf(target).Elem())
	return d.positions, d.faults
}

// syntaxFault converts an error of hujson. The position is parsed from the error
// text, because the error has no field for it.
func syntaxFault(p *Positions, err error) Fault {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	fault := Fault{Line: 1, Column: 1, Message: text, Allowed: "one JSON object"}
	var line, column int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n != 2 {
		return fault
	}
	_, message, _ := strings.Cut(text, ": ")
	if strings.Contains(message, "parsing value: unexpected EOF") || strings.HasSuffix(message, "unexpected EOF") {
		message = "unexpected end of input"
	}
	fault.Line, fault.Column, fault.Message = line, column, message
	return fault
}

type decoder struct {
	positions *Positions
	faults    []Fault
}

func (d *decoder) addFault(offset int, path, message, allowed string) {
	d.faults = append(d.faults, d.positions.faultAt(offset, path, message, allowed))
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[[]byte]()
)

func (d *decoder) value(v hujson.Value, path string, target reflect.Value) {
	d.positions.offsets[path] = v.StartOffset
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		d.addFault(v.StartOffset, path, "null is not allowed", "leave the field out, or "+describe(target.Type()))
		return
	}
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.textValue(v, path, target.Type(), text)
		return
	}
	switch {
	case target.Type() == durationType:
		d.duration(v, path, target)
	case target.Type() == bytesType:
		d.bytes(v, path, target)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(v, path, target.Elem())
	case target.Kind() == reflect.Struct:
		d.object(v, path, target)
	case target.Kind() == reflect.Slice:
		d.array(v, path, target)
	default:
		d.scalar(v, path, target)
	}
}

func (d *decoder) object(v hujson.Value, path string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.mismatch(v, path, target.Type())
		return
	}
	fields, names := fieldsOf(target.Type())
	seen := make(map[string]int)
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := fieldPath(path, name)
		if first, duplicate := seen[name]; duplicate {
			line, _ := lineColumn(d.positions.src, first)
			d.addFault(member.Name.StartOffset, memberPath, fmt.Sprintf("duplicate name, first on line %d", line), "each name once")
			continue
		}
		seen[name] = member.Name.StartOffset
		index, known := fields[name]
		if !known {
			d.addFault(member.Name.StartOffset, memberPath, "unknown field", strings.Join(names, ", "))
			continue
		}
		d.value(member.Value, memberPath, target.Field(index))
	}
}

func (d *decoder) array(v hujson.Value, path string, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.mismatch(v, path, target.Type())
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.value(element, fmt.Sprintf("%s[%d]", path, i), target.Index(i))
	}
}

func (d *decoder) scalar(v hujson.Value, path string, target reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	switch kind := literal.Kind(); {
	case target.Kind() == reflect.String && kind == '"':
		target.SetString(literal.String())
	case target.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		target.SetBool(literal.Bool())
	case target.CanInt() && kind == '0':
		n, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
		if err != nil {
			d.mismatch(v, path, target.Type())
			return
		}
		target.SetInt(n)
	case target.CanFloat() && kind == '0':
		f, err := strconv.ParseFloat(string(literal), 64)
		if err != nil {
			d.mismatch(v, path, target.Type())
			return
		}
		target.SetFloat(f)
	default:
		d.mismatch(v, path, target.Type())
	}
}

func (d *decoder) textValue(v hujson.Value, path string, t reflect.Type, target encoding.TextUnmarshaler) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' || target.UnmarshalText([]byte(literal.String())) != nil {
		d.mismatch(v, path, t)
	}
}

func (d *decoder) duration(v hujson.Value, path string, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.mismatch(v, path, durationType)
		return
	}
	parsed, err := time.ParseDuration(literal.String())
	if err != nil {
		d.mismatch(v, path, durationType)
		return
	}
	target.SetInt(int64(parsed))
}

// bytes decodes a base64 string. A literal without escapes is decoded directly from
// the source: nearly every payload has none, and unquoting it first took half of the
// time of a submission of 1 MB.
func (d *decoder) bytes(v hujson.Value, path string, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.mismatch(v, path, bytesType)
		return
	}
	encoded := literal[1 : len(literal)-1]
	if bytes.IndexByte(encoded, '\\') >= 0 {
		encoded = []byte(literal.String())
	}
	decoded, err := base64.StdEncoding.AppendDecode(nil, encoded)
	if err != nil {
		d.mismatch(v, path, bytesType)
		return
	}
	target.SetBytes(decoded)
}

func (d *decoder) mismatch(v hujson.Value, path string, want reflect.Type) {
	d.addFault(v.StartOffset, path, "found "+describeValue(v), describe(want))
}

// fieldsOf returns the index of each field of struct type t by its JSON name, and
// the names in declaration order.
func fieldsOf(t reflect.Type) (map[string]int, []string) {
	index := make(map[string]int, t.NumField())
	var names []string
	for i := range t.NumField() {
		name := FieldName(t.Field(i))
		if name == "" {
			continue
		}
		index[name] = i
		names = append(names, name)
	}
	return index, names
}

// FieldName returns the JSON name of f, or "" if f is not decoded.
func FieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" || !f.IsExported() {
		return ""
	}
	return name
}
