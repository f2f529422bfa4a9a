// Package load drives the decision packages of one owner in virtual time with
// a generated load, and measures waiting times, shares, packing and the cost of
// a decision under several policies. The load depends on the seed only and is
// open-loop: it is the same for every policy. mulberryctl load and the
// benchmarks call it.
package load
