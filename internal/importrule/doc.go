// Package importrule holds the test that keeps decisions apart from peers.
package importrule
