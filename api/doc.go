// Package api holds the JSON types that an entry instance exchanges with
// callers and operators. The servers in caller and operator and the client in
// client share them; they hold no policy.
package api
