package jsonc

import (
	"bytes"
	"fmt"
)

// maxNesting limits the nesting depth of objects and arrays. The parser recurses
// once per level, so a megabyte of brackets would otherwise need a stack of
// hundreds of megabytes.
const maxNesting = 32

// checkNesting scans the source text without recursion and returns a fault and
// false if a value is nested too deeply.
func checkNesting(p *Positions) (Fault, bool) {
	src, depth := p.src, 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '"':
			i = skipString(src, i)
		case '/':
			i = skipComment(src, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > maxNesting {
			return p.faultAt(i, "", "values are nested too deeply", fmt.Sprintf("at most %d levels", maxNesting)), false
		}
	}
	return Fault{}, true
}

// skipString returns the index of the closing quote of the string that starts at i.
func skipString(src []byte, i int) int {
	for i++; i < len(src) && src[i] != '"'; i++ {
		if src[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment that starts at i,
// or i if no comment starts there.
func skipComment(src []byte, i int) int {
	rest := src[i:]
	var end []byte
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		end = []byte("*/")
	default:
		return i
	}
	n := bytes.Index(rest[2:], end)
	if n < 0 {
		return len(src)
	}
	return i + 2 + n + len(end) - 1
}
