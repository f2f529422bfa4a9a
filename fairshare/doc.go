// Package fairshare orders teams by how far their use of the cluster is from
// the share that their weight entitles them to: the weighted dominant share
// over processors, memory, accelerators and slots, of what they use now and of
// what they used lately. Package control calls it from the control goroutine
// only.
package fairshare
