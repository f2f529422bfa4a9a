package task

import "fmt"

// Resources is an amount of each resource that a worker provides.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli,omitempty"`    // thousandths of a CPU core
	MemoryMB     int64 `json:"memory_mb,omitempty"`    // units of 2^20 bytes
	Accelerators int64 `json:"accelerators,omitempty"` // whole devices
	Slots        int64 `json:"slots,omitempty"`        // concurrently running tasks
	Connections  int64 `json:"connections,omitempty"`  // open connections
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli + o.CPUMilli,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Sub returns r minus o. The result may have negative amounts.
func (r Resources) Sub(o Resources) Resources {
	return r.Add(o.Scale(-1))
}

// Scale returns n times r.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
		Connections:  r.Connections * n,
	}
}

// Fits reports whether r is at most free for every resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMilli <= free.CPUMilli &&
		r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots &&
		r.Connections <= free.Connections
}

// Max returns the larger amount of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		CPUMilli:     max(r.CPUMilli, o.CPUMilli),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
		Connections:  max(r.Connections, o.Connections),
	}
}

// Min returns the smaller amount of r and o for each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		CPUMilli:     min(r.CPUMilli, o.CPUMilli),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
		Slots:        min(r.Slots, o.Slots),
		Connections:  min(r.Connections, o.Connections),
	}
}

// IsZero reports whether every amount is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// HasNegative reports whether any amount is below zero.
func (r Resources) HasNegative() bool {
	return r.CPUMilli < 0 || r.MemoryMB < 0 || r.Accelerators < 0 || r.Slots < 0 || r.Connections < 0
}

// DominantShare returns the largest fraction that r takes of any resource in total.
// Connections are excluded: they limit a worker but are not a resource that teams compete
// for.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	share = max(share, fraction(r.CPUMilli, total.CPUMilli))
	share = max(share, fraction(r.MemoryMB, total.MemoryMB))
	share = max(share, fraction(r.Accelerators, total.Accelerators))
	share = max(share, fraction(r.Slots, total.Slots))
	return share
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String returns the amounts in a fixed order.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm mem=%dMB acc=%d slots=%d conns=%d",
		r.CPUMilli, r.MemoryMB, r.Accelerators, r.Slots, r.Connections)
}
