// Package document parses, checks and compares documents. A document defines what
// a service of a team runs, what resources it may use and who may submit to it.
package document
