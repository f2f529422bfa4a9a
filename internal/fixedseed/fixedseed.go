// Package fixedseed runs the property tests of a package with a fixed seed, so
// that every run has the same result.
package fixedseed

import (
	"flag"
	"testing"
)

// Run sets a fixed seed for the package rapid and runs the tests. The flag
// -rapid.seed on the command line overrides the seed. Run is called from TestMain
// in a package that imports rapid, which defines the flag.
func Run(m *testing.M) int {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	return m.Run()
}
