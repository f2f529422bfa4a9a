package queue

import (
	"flag"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run of the
// checks gives the same verdict. The flag -rapid.seed still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}
