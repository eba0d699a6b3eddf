// Package provider defines the interfaces of the platform that pistachiolead runs on: a transactional table, an object
// store, an eventually consistent list of VMs, and the backend servers that run tasks.
//
// Each call takes a context and plain values, and returns an outcome, which is one of the types that implement a sealed
// interface. A call whose reply can be lost after it took effect returns OutcomeUnknown in that case, never a failure.
package provider
