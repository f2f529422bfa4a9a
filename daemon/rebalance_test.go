package daemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/standin"
)

// TestWaitingWorkMoves guards against work that stays queued at a full partition while another one
// has free capacity. While one partition is out of service, all work is sent to the other one; queued
// work must be rebalanced when the first partition returns.
func TestWaitingWorkMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 3, 4)
		defer d.close()
		time.Sleep(10 * time.Second)
		d.setPartitionFrozen(t, "w/flanders/0", true)
		time.Sleep(10 * time.Second)
		const services = 12 // the team's limit, and more than the capacity of one partition
		for i := range services {
			if _, err := d.nodes[i%3].submitJob("tables", fmt.Sprintf("m%d", i)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		if got := d.running(t); got >= services {
			t.Fatalf("%d services run while one partition is out of service", got)
		}
		d.setPartitionFrozen(t, "w/flanders/0", false)
		const bound = 30 * time.Second // a few rebalancing rounds, 2 s apart, after the workers report again
		time.Sleep(bound)
		if got := d.running(t); got != services {
			t.Errorf("%d of %d services run %v after both partitions have free capacity", got, services, bound)
		}
		d.checkOracle(&load{deployment: d, jobs: d.submitted()})
	})
}

// setPartitionFrozen freezes or resumes every worker of a partition.
func (d *deployment) setPartitionFrozen(t *testing.T, partition string, frozen bool) {
	t.Helper()
	for _, listed := range d.listedWorkers {
		if control.PartitionOf(listed.Region, listed.Rack, 2) != partition {
			continue
		}
		if err := d.workers[listed.Name].SetFaults(standin.WorkerFaults{Freeze: &frozen}); err != nil {
			t.Fatal(err)
		}
	}
}
