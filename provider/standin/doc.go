// Package standin simulates the platform in memory, as a stand-in for the real one: the table, the object store, the
// list of VMs and the backend servers. Tests, the local command and the platform command use it.
//
// Each type implements an interface of package provider, and has Faults that inject failures and can be changed while
// it is in use. All types are safe for concurrent use. Time comes from a timer.Clock, so that tests with a manual
// clock are deterministic.
package standin
