// Package standin provides in-process stand-ins for the platform: the table, the object store, the list of VMs and
// backend servers. Tests, the local command and the platform command use them.
//
// Every stand-in has Faults that can be changed while it is in use. All types are safe for concurrent use. Time comes
// from a timer.Clock, so that tests with a manual timer are deterministic.
package standin
