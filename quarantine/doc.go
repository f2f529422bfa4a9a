// Package quarantine tells bad workers from bad work by who fails where. A
// worker on which tasks of several classes fail that run elsewhere is put in
// quarantine; a job that fails on several workers on which other work runs is
// bad itself. Package control reports outcomes to it from the control
// goroutine, and applies its verdicts and penalties to the placement.
package quarantine
