// Package commit writes rows to the platform's table by group commit. It takes transactions from many submitters, packs
// them into a few large ones, sends these at a bounded rate and calls each submitter back with the outcome of its
// transaction. The queue is bounded.
//
// Each packed transaction also writes the committer's own row commit/<name> with a random token, and has the condition
// that this row still has its previous version. It is therefore safe to send the transaction again after a lost
// response: it is applied at most once, and the token in the row shows whether an earlier attempt was applied (section
// 5.1 of the design page).
//
// State makes the decisions and is deterministic, without I/O or a clock of its own. Committer executes them.
package commit
