// Package jsonc strictly decodes JSON with comments and reports every fault with
// its line and column. It decodes documents, settings and request bodies, so that
// the same rules apply to all of them.
package jsonc
