// Package dispatch implements the control state machine of an entry VM. It decides which requests are accepted, where
// and when their tasks start, which entry VM holds a job, and when a configuration change is committed. It composes the
// decisions of the packages ownership, membership, freshness, queue, placement, quota, claim and retry.
//
// State.Handle takes an Event and the current time and returns Effects. Events are submitted requests, operators'
// changes, messages from other entry VMs, ticks and the results of effects. Effects are requests to backend servers, to
// the table, to the object store and to other entry VMs, and replies to callers.
//
// Handle does no I/O and starts no goroutines. The package entry carries out the effects and passes their results back
// as events. A State isn't safe for concurrent use.
package dispatch
