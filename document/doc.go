// Package document parses, checks and compares the documents in which a team
// states what a service runs, what it may use and who may submit.
package document
