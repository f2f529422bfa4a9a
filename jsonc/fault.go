package jsonc

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Fault is one error in a source text.
type Fault struct {
	Line    int    `json:"line"`              // starting at 1
	Column  int    `json:"column"`            // in characters, starting at 1
	Path    string `json:"path,omitempty"`    // such as classes[2].max_run
	Message string `json:"message"`           // what is wrong
	Allowed string `json:"allowed,omitempty"` // what is allowed instead
}

// String formats the fault as "LINE:COLUMN: path: message; allowed: values".
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

// Positions holds the position of each value in a source text.
type Positions struct {
	src      []byte
	offsets  map[string]int // start of each value, by path
	isObject bool
}

func newPositions(src []byte) *Positions {
	return &Positions{src: src, offsets: map[string]int{"": 0}}
}

// IsObject reports whether the source text is an object. Only then can its fields be
// checked.
func (p *Positions) IsObject() bool { return p.isObject }

// Has reports whether the source text has a value at path.
func (p *Positions) Has(path string) bool {
	_, ok := p.offsets[path]
	return ok
}

// Fault returns a fault with the position of the value at path, or of the nearest
// enclosing value if the source text has no value at path.
func (p *Positions) Fault(path, message, allowed string) Fault {
	nearest := path
	for !p.Has(nearest) {
		nearest = parentPath(nearest)
	}
	return p.faultAt(p.offsets[nearest], path, message, allowed)
}

func (p *Positions) faultAt(offset int, path, message, allowed string) Fault {
	line, column := lineColumn(p.src, offset)
	return Fault{Line: line, Column: column, Path: path, Message: message, Allowed: allowed}
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func fieldPath(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func lineColumn(src []byte, offset int) (line, column int) {
	before := src[:min(max(offset, 0), len(src))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	return line, column
}
