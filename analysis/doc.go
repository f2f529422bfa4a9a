// Package analysis reads the log lines of the entry instances of one period and reports where the
// credit of each queue and team went: how many jobs ended in time, what the steps of the others
// waited for, which runs were repeated and why, what takeovers cost, how the cores were used over
// time, and how much of the capacity each team used by the hour. The logs are its only source.
// mulberryctl analyze calls it.
package analysis
