// Package quarantine distinguishes faulty workers from faulty jobs by correlating failures across
// workers. A worker is quarantined if tasks of several classes fail on it that succeed on other
// workers. A job is faulty if it fails on several workers on which other work succeeds. Package
// control reports outcomes to it from the control goroutine, and applies its verdicts and penalties
// to the placement.
package quarantine
