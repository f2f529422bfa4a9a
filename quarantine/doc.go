// Package quarantine distinguishes faulty workers from faulty jobs by correlating failures across
// workers. A worker is quarantined if several classes of tasks that succeed on other workers fail on
// it. A job is faulty if it fails on several workers on which other work succeeds. Package control
// reports outcomes to it from the control goroutine only, and applies its verdicts and penalties to
// placement.
package quarantine
