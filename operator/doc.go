// Package operator serves the HTTP interface for operators: documents, keys,
// drains, forced ownership, workers, members, shares and the timeline.
package operator
