// Package httpjson is the common part of the HTTP/JSON API servers: request
// limits, complete responses with length and digest, and error responses from the
// table in package errkind. The servers in packages caller and operator use it; it
// does not depend on their calls.
package httpjson
