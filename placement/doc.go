// Package placement chooses a worker for a task: filter, score, reserve, and
// gangs, on nodes indexed by their free resources.
package placement
