package jsonc

import (
	"cmp"
	"slices"
	"strings"
)

// Checker collects the faults of decoding and of further checks. A value that
// could not be decoded is not checked further, so that one mistake is reported once.
type Checker struct {
	*Positions
	faults    []Fault
	undecoded []string // paths of values that could not be decoded
}

// NewChecker returns a checker for the positions and faults that Decode returned.
func NewChecker(positions *Positions, faults []Fault) *Checker {
	c := &Checker{Positions: positions, faults: faults}
	for _, f := range faults {
		c.undecoded = append(c.undecoded, f.Path)
	}
	return c
}

// AddFault records a fault in the value at path.
func (c *Checker) AddFault(path, message, allowed string) {
	if !c.isUndecoded(path) {
		c.faults = append(c.faults, c.Fault(path, message, allowed))
	}
}

// Require records a fault in the value at path unless ok.
func (c *Checker) Require(ok bool, path, message, allowed string) {
	if !ok {
		c.AddFault(path, message, allowed)
	}
}

// isUndecoded reports whether the value at path, or a value inside it, could not
// be decoded.
func (c *Checker) isUndecoded(path string) bool {
	for _, undecoded := range c.undecoded {
		if undecoded == path || strings.HasPrefix(undecoded, path+".") || strings.HasPrefix(undecoded, path+"[") {
			return true
		}
	}
	return false
}

// Faults returns all faults, ordered by their position in the source text.
func (c *Checker) Faults() []Fault {
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return c.faults
}
