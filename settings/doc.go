// Package settings parses and checks the settings of a daemon, which are written
// in JSON with comments.
package settings
