// Package settings reads and checks the settings of a daemon, written in JSON
// with comments.
package settings
