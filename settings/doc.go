// Package settings parses and checks the settings of an entry instance, which are
// written in JSON with comments.
package settings
