package job

// Evacuations is the set of failure domains in which operators want no further tasks to start.
type Evacuations struct {
	Domains  []string // sorted
	Revision int64    // of the store with this set
}
