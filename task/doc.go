// Package task defines the nouns that every other package shares: resources,
// specifications of work, task and attempt identities, and outcomes. It holds
// no policy and imports nothing of the project.
package task
