// Package tombstone decides what becomes of the cancellation of a job that is not recorded. The write of its
// submission may still be on its way to the store, so a tombstone takes the place of the record of the ended job:
// no submission of the ID by the same customer is recorded while it exists. A Budget limits how many tombstones
// the customers may cause.
//
// The package performs no I/O and reads no clock. Package instance reads and writes the records.
package tombstone
