// Package peer is the protocol between entry VMs: heartbeats with digests, forwarded requests, pushed configuration
// changes, and the relay of the platform's table. It runs over twirp; the generated code is in package peerwire.
//
// Outcomes are values. A message that certainly wasn't delivered has an outcome of its own, because only then may
// the sender act as if it had never been sent.
package peer
