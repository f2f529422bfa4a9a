// Package apidoc contains the test that generates docs/api.md. It makes every call
// to the caller and operator servers with fixed backends, and compares the page
// with the requests and responses.
package apidoc
