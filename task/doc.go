// Package task defines the types that the other packages share: resources, job
// specifications, task and attempt identities, and outcomes. It contains no policy and
// imports no other package of this module.
package task
