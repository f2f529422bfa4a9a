package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/daemon"
	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/settings"
	"github.com/mulberrydrum/mulberrydrum/standin"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// Size of the deployment, the same as in the deployments of the current users.
const (
	entryCount  = 8
	workerCount = 48
	rackSize    = 8

	keyFreshness = 3 * time.Second // maximum time until every instance refuses a withdrawn key
)

var regions = []string{"flanders", "wallonia", "brussels"}

// Cluster is a complete deployment in one process.
type Cluster struct {
	Entries []*Entry
	Workers []*Worker
	Store   *standin.Store
	List    *standin.List

	logger     *log.Logger
	storeAddr  string
	listAddr   string
	closeFuncs []func() // run in reverse order by Close
}

// Entry is one entry instance.
type Entry struct {
	*daemon.Daemon
	Name string
	stop context.CancelFunc
	done chan error
}

// Worker is one stand-in worker.
type Worker struct {
	*standin.Worker
	Instance instancelist.Instance
}

// Start starts the stand-ins and the entry instances. The deployment has no documents
// and keys until an operator applies and grants them. If Start fails, it stops
// everything that it has started.
func Start(logger *log.Logger) (*Cluster, error) {
	c := &Cluster{logger: logger, Store: standin.NewStore(storetest.Limits{}), List: standin.NewList(0)}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	c.closeFuncs = append(c.closeFuncs, c.Store.Close)
	var err error
	if c.storeAddr, err = c.serve(standin.NewServer(c.Store)); err != nil {
		return err
	}
	if c.listAddr, err = c.serve(standin.NewServer(c.List)); err != nil {
		return err
	}
	if err := c.startWorkers(); err != nil {
		return err
	}
	for i := range entryCount {
		if _, err := c.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// serve runs server on a loopback port until the cluster is closed.
func (c *Cluster) serve(server *http.Server) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen on a loopback port")
	}
	go func() { _ = server.Serve(listener) }()
	c.closeFuncs = append(c.closeFuncs, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func (c *Cluster) startWorkers() error {
	var instances []instancelist.Instance
	for i := range workerCount {
		name := fmt.Sprintf("worker-%d", i)
		w := standin.NewWorker(standin.WorkerConfig{Name: name, UsageLag: 5 * time.Second,
			Capacity: task.Resources{CPUMilli: 32000, MemoryMB: 131072, Slots: 8, Connections: 64}})
		address, err := c.serve(&http.Server{Handler: w.Handler(), IdleTimeout: standin.WorkerIdleTimeout})
		if err != nil {
			return err
		}
		rack := i / rackSize
		instance := instancelist.Instance{Name: name, Address: address, Role: instancelist.RoleWorker, Region: regions[rack%len(regions)],
			FailureDomain: fmt.Sprintf("domain-%d", rack%6), Rack: fmt.Sprintf("rack-%d", rack), State: instancelist.StateLive}
		c.Workers = append(c.Workers, &Worker{Worker: w, Instance: instance})
		c.closeFuncs = append(c.closeFuncs, w.Close)
		instances = append(instances, instance)
	}
	c.List.Replace(time.Now(), instances)
	return nil
}

// Settings returns the settings of entry instance i.
func (c *Cluster) Settings(i int) settings.Settings {
	s := settings.Default()
	s.Instance = fmt.Sprintf("entry-%d", i)
	s.Regions = regions
	s.Region = regions[i%len(regions)]
	s.FailureDomain = fmt.Sprintf("domain-%d", i%6)
	s.CallerAddress, s.OperatorAddress, s.EntryAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.StoreEndpoints = []string{c.storeAddr}
	s.InstanceListEndpoint = c.listAddr
	s.WorkerPartitions = 2
	// An instance commits configuration changes only after it has run for list_lag
	// and key_freshness. The stand-in list has no lag, and the shorter key_freshness
	// reduces the run time of the demo by 2 s.
	s.ListLag = 0
	s.KeyFreshness, s.KeepaliveInterval, s.StoreCallTimeout = keyFreshness, time.Second, time.Second
	// Instances in other regions receive the configuration revision of this instance
	// at this interval, which delays an apply that waits until they have it.
	s.DigestIntervalCrossRegion = s.DigestInterval
	return s
}

// StartEntry starts entry instance i and adds it to the instance list.
func (c *Cluster) StartEntry(i int) (*Entry, error) {
	cfg := daemon.FromSettings(c.Settings(i))
	d, err := daemon.New(cfg, c.logger)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{Daemon: d, Name: cfg.Self.Instance, stop: stop, done: make(chan error, 1)}
	go func() { e.done <- d.Run(ctx) }()
	c.List.Put(time.Now(), instancelist.Instance{Name: e.Name, Address: d.EntryAddress(), Role: instancelist.RoleEntry,
		Region: cfg.Self.Region, FailureDomain: cfg.Self.FailureDomain, State: instancelist.StateLive})
	c.Entries = append(c.Entries, e)
	return e, nil
}

// Stop performs a planned stop of the entry instance and waits until it has ended.
func (e *Entry) Stop() error {
	e.stop()
	return <-e.done
}

// Close aborts the entry instances, without a handover of their units, and closes the
// stand-ins.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		e.Abort()
	}
	for _, e := range c.Entries {
		e.stop()
	}
	for i := len(c.closeFuncs) - 1; i >= 0; i-- {
		c.closeFuncs[i]()
	}
}

// Trace returns the input of the oracle: the merged timelines of all entry
// instances and the ledgers of all workers.
func (c *Cluster) Trace() (oracle.Trace, error) {
	trace := oracle.Trace{Bounds: oracle.DefaultBounds, KnownTasks: map[task.ID]bool{}}
	var timelines [][]timeline.Event
	for _, e := range c.Entries {
		timelines = append(timelines, e.Events())
	}
	trace.Events = timeline.Merge(timelines...)
	for _, w := range c.Workers {
		ledger, err := w.Ledger()
		if err != nil {
			return trace, eris.Wrapf(err, "read the ledger of %s", w.Instance.Name)
		}
		trace.Workers = append(trace.Workers, ledger)
	}
	return trace, nil
}
