// Package api defines the JSON types that an entry instance exchanges with callers
// and operators. The servers in packages caller and operator and the client in
// package client share them; they contain no scheduling policy.
package api
