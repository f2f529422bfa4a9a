package worker

import "github.com/rcrowley/go-metrics"

// Names of the counters of one worker: the prefix, its address and a suffix.
const (
	metricPrefix   = "worker."
	sentSuffix     = ".sent_bytes"
	receivedSuffix = ".received_bytes"
)

// byteCounters counts the bytes on the connections to one worker, including HTTP
// headers.
type byteCounters struct{ sent, received metrics.Counter }

func countersFor(registry metrics.Registry, address Address) byteCounters {
	if registry == nil {
		return byteCounters{metrics.NilCounter{}, metrics.NilCounter{}}
	}
	return byteCounters{
		sent:     metrics.GetOrRegisterCounter(metricPrefix+string(address)+sentSuffix, registry),
		received: metrics.GetOrRegisterCounter(metricPrefix+string(address)+receivedSuffix, registry),
	}
}

// Traffic returns the number of bytes sent to a worker and received from it since
// its counters were registered.
func (c *Client) Traffic(address Address) (sent, received int64) {
	counters := countersFor(c.config.Registry, address)
	return counters.sent.Count(), counters.received.Count()
}

// UnregisterCounters unregisters the counters of a worker that no longer exists.
// Otherwise the registry would grow with every replaced worker.
func (c *Client) UnregisterCounters(address Address) {
	if c.config.Registry == nil {
		return
	}
	c.config.Registry.Unregister(metricPrefix + string(address) + sentSuffix)
	c.config.Registry.Unregister(metricPrefix + string(address) + receivedSuffix)
}
