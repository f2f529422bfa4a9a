// Package standin holds stand-ins for the parts of the platform: the key-value
// store, the instance list and workers, each with fault switches.
package standin
