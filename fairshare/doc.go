// Package fairshare orders teams by their weighted dominant share of the
// cluster, with usage that decays over time.
package fairshare
