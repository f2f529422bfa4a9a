// Package analysis reads the log lines of the entry instances of one period and reports where the
// credit of each queue and team went: how many jobs ended in time, what the steps of the others
// waited for, which runs were repeated and why, what takeovers cost, and how the cores were used
// over time. The logs are its only source. mulberryctl analyze calls it.
package analysis
