package jsonc

import (
	"cmp"
	"slices"
	"strings"
)

// Checker collects the faults of decoding and of further checks. A value that
// did not decode is not checked further, so that one mistake is one fault.
type Checker struct {
	*Positions
	faults []Fault
	wrong  []string // paths that did not decode
}

// NewChecker returns a checker that starts with what Decode returned.
func NewChecker(positions *Positions, faults []Fault) *Checker {
	c := &Checker{Positions: positions, faults: faults}
	for _, f := range faults {
		c.wrong = append(c.wrong, f.Path)
	}
	return c
}

// Add adds a fault of the value at path.
func (c *Checker) Add(path, message, allowed string) {
	if !c.isWrong(path) {
		c.faults = append(c.faults, c.Fault(path, message, allowed))
	}
}

// Require adds a fault of the value at path unless ok.
func (c *Checker) Require(ok bool, path, message, allowed string) {
	if !ok {
		c.Add(path, message, allowed)
	}
}

func (c *Checker) isWrong(path string) bool {
	for _, wrong := range c.wrong {
		if wrong == path || strings.HasPrefix(wrong, path+".") || strings.HasPrefix(wrong, path+"[") {
			return true
		}
	}
	return false
}

// Faults returns every fault in the order in which they stand in the source.
func (c *Checker) Faults() []Fault {
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return c.faults
}
