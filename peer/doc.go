// Package peer implements the RPC protocol between entry VMs over twirp; package peerwire holds the generated code. A
// Client sends four kinds of messages to the Server of one peer: heartbeats with a Digest of the member's state,
// forwarded calls and jobs, configuration changes, and reads and commits of the platform's table (provider.Table) for a
// member that can't reach the table itself.
//
// Each method of Client returns an outcome instead of an error. Unreachable is distinct from the other failures: the
// message certainly wasn't delivered, so only then may the sender act as if it had never sent the message.
package peer
