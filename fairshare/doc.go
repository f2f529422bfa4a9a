// Package fairshare orders teams by weighted dominant resource fairness (DRF). The sort key of a team
// is the dominant share of its current usage plus the dominant share of its exponentially decayed
// usage, divided by its weight. The resources are CPU, memory, accelerators and slots. The team
// furthest below its entitlement comes first. Package control calls it from the control goroutine
// only.
package fairshare
