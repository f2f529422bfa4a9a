package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
)

// BenchmarkMemory reports the memory of a cluster per node and per reservation.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				c := newFleet(workers)
				empty := heapInUse()
				fillFleet(c, "none", rand.New(rand.NewPCG(1, 2)))
				full := heapInUse()
				b.ReportMetric(float64(empty-before)/float64(workers), "B/node")
				b.ReportMetric(float64(full-empty)/float64(len(c.reservations)), "B/attempt")
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
