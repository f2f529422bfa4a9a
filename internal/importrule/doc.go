// Package importrule contains the tests that keep the decision packages free of
// message encodings, I/O and clocks, and the peer packages independent of each
// other.
package importrule
