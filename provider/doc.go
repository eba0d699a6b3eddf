// Package provider defines the four interfaces through which pistachiolead meets the platform it runs on: a
// transactional table, an object store, a lagging list of VMs, and the backend servers that run tasks.
//
// Outcomes are values of sealed interfaces. Every call that can lose its reply after it took effect has an outcome
// of its own for that case (Unknown), which is never reported as a failure.
package provider
