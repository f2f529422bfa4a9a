// Package catalogcheck finds faults in a configuration of the operators that an instance would accept,
// but that cannot be meant: entries that can never match, and limits that contradict each other. It owns
// the rules and knows no encoding; platform/operator calls it and adds the positions in the file.
package catalogcheck
