// Package operator serves the HTTP interface for operators: documents, keys,
// drains, workers, shares and the timeline.
package operator
