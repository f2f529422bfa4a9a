package main

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/mulberrydrum/mulberrydrum/api"
)

// revisionLinePattern matches the first line that get prints. apply reads the revision
// from it, so that a change by another operator is detected, however long after get the
// edited file is applied.
var revisionLinePattern = regexp.MustCompile(`^// mulberryctl revision ([0-9]{1,18})\r?\n`)

// withRevision returns the source of d with a revision line.
func withRevision(d api.Document) []byte {
	source := bytes.TrimRight([]byte(d.Source), "\n")
	return fmt.Appendf(nil, "// mulberryctl revision %d\n%s\n", d.Revision, source)
}

// splitRevision returns source without its revision line, and the revision. It returns
// ok false if there is no valid revision line.
func splitRevision(source []byte) (rest []byte, revision int64, ok bool) {
	match := revisionLinePattern.FindSubmatch(source)
	if match == nil {
		return source, 0, false
	}
	revision, err := strconv.ParseInt(string(match[1]), 10, 64)
	return source[len(match[0]):], revision, err == nil
}
