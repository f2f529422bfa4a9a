// Package daemon connects the control loop to the packages of its peers and runs one entry instance.
package daemon
