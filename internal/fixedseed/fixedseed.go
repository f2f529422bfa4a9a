// Package fixedseed gives the property tests of a package the same verdict in
// every run.
package fixedseed

import (
	"flag"
	"testing"
)

// Run runs the tests with a fixed seed for rapid. The flag -rapid.seed on the
// command line still takes its place. It is called from TestMain, in a package
// that imports rapid.
func Run(m *testing.M) int {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	return m.Run()
}
