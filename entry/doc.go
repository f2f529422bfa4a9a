// Package entry is the gRPC client and server for communication between entry instances.
package entry
