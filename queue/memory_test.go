package queue

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkMemory reports the heap memory per queued entry, including its strings.
func BenchmarkMemory(b *testing.B) {
	for _, teams := range []int{6, 30, 97} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				q, entries := newNearlyFullQueues(teams)
				count := len(entries)
				entries = nil
				after := heapInUse()
				b.ReportMetric(float64(after-before)/float64(count), "B/entry")
				runtime.KeepAlive(q)
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
