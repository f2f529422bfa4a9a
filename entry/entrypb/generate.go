// Package entrypb holds the generated messages between entry instances.
package entrypb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative entry.proto cell.proto
