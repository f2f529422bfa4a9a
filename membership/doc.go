// Package membership keeps the list of live entry instances and assigns worker
// partitions and request shards to them with little movement.
package membership
