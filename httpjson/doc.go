// Package httpjson is what the HTTP servers of this project have in common:
// bounded requests, complete answers with length and digest, and error answers
// from the table of errkind. The servers in caller and operator use it; it knows
// none of their calls.
package httpjson
