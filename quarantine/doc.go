// Package quarantine tells bad workers from bad work by who fails where.
package quarantine
