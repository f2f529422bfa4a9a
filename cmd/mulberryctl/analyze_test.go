package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
)

// TestAnalyzeUnreadable guards against a success, or an error without the name, for files that cannot
// be read.
func TestAnalyzeUnreadable(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{filepath.Join(dir, "missing.log"), dir} {
		var stdout, stderr bytes.Buffer
		code := run(t.Context(), []string{"analyze", name}, strings.NewReader(""), &stdout, &stderr)
		if code != exitFaultsFound || !strings.Contains(stderr.String(), name) {
			t.Errorf("analyze %s: exit code %d, stderr %q, want %d and the name", name, code, stderr.String(), exitFaultsFound)
		}
	}
}
