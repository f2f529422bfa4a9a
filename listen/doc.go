// Package listen applies the decisions of package intake to listeners and HTTP servers: it accepts or
// closes connections, bounds the size and the time of headers, and reads the bodies of requests. Packages
// platform, daemon and httpjson use it for all servers of a process.
package listen
