// Package entry talks gRPC to the other entry instances, as client and server.
package entry
