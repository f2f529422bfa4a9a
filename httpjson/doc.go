// Package httpjson is the common part of the HTTP servers of this project: request
// limits, complete answers with length and digest, and error answers from the table
// of errkind. The servers in caller and operator use it; it does not depend on their
// calls.
package httpjson
