// Package dispatch is the control state machine of an entry VM. It composes the decisions of the packages
// ownership, membership, freshness, queue, placement, quota, claim and retry.
//
// State.Handle takes an event and the time and returns effects. It does no I/O and starts no goroutines; the package
// entry carries out the effects and hands their results back as events. One goroutine owns a State.
package dispatch
