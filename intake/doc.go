// Package intake decides which connections and requests of clients a process takes in. A Budget holds
// the memory and the connections that clients may use; every amount is charged before the bytes are
// read, and is returned when the connection or the request ends.
//
// The package performs no I/O and reads no clock. Package listen applies its decisions to the
// listeners and to the HTTP servers.
package intake
