// Package commit writes rows to the platform's table by group commit: submitted transactions are packed into few large
// ones, at a bounded rate, from a bounded queue.
//
// Each packed transaction also writes the committer's own row commit/<name> with a random token and requires that row's
// previous version. Sending it again after a lost reply is therefore safe: it is applied at most once, and the token
// shows whether an earlier attempt was applied (section 5.1 of the design page).
//
// State decides, without time or input of its own; Committer carries the decisions out.
package commit
