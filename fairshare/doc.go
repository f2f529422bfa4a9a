// Package fairshare orders teams by weighted dominant resource fairness: by the sum of the dominant
// shares, over CPU, memory, accelerators and slots, of their current usage and of their exponentially
// decayed usage, divided by their weight. The team furthest below its entitlement comes first.
// Package control calls it from the control goroutine only.
package fairshare
