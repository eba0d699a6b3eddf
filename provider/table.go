package provider

import "context"

// Table is the platform's transactional table of versioned rows, and the only durable store.
type Table interface {
	// Commit applies all writes of the transaction if all of its conditions hold, and none otherwise.
	Commit(ctx context.Context, t Transaction) CommitOutcome
	// Scan returns the rows whose key starts with prefix and that changed after table version since, in key
	// order, deletions included. A since of 0 returns all rows that exist.
	Scan(ctx context.Context, prefix string, since uint64) ScanOutcome
}

// Row is one row of the table. A deleted row has no value.
type Row struct {
	key     string
	value   []byte
	version uint64
	deleted bool
}

// NewRow returns a row that exists.
func NewRow(key string, value []byte, version uint64) Row {
	return Row{key: key, value: value, version: version}
}

// NewDeletedRow returns the record of a deletion at the given version.
func NewDeletedRow(key string, version uint64) Row {
	return Row{key: key, version: version, deleted: true}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Value returns the row's value. Callers must not modify it.
func (r Row) Value() []byte { return r.value }

// Version returns the table version of the commit that last wrote the row.
func (r Row) Version() uint64 { return r.version }

// Deleted reports whether the row was deleted at Version.
func (r Row) Deleted() bool { return r.deleted }

// Condition requires that a row has the given version. Version 0 requires that the row doesn't exist.
type Condition struct {
	key     string
	version uint64
}

// NewCondition returns a condition on a row's version.
func NewCondition(key string, version uint64) Condition {
	return Condition{key: key, version: version}
}

// Key returns the key of the row.
func (c Condition) Key() string { return c.key }

// Version returns the required version, 0 if the row must not exist.
func (c Condition) Version() uint64 { return c.version }

// Write puts or deletes a row.
type Write struct {
	key    string
	value  []byte
	delete bool
}

// NewPut returns a write that creates or replaces a row.
func NewPut(key string, value []byte) Write { return Write{key: key, value: value} }

// NewDelete returns a write that deletes a row.
func NewDelete(key string) Write { return Write{key: key, delete: true} }

// Key returns the key of the row.
func (w Write) Key() string { return w.key }

// Value returns the new value, nil for a deletion.
func (w Write) Value() []byte { return w.value }

// Delete reports whether the write deletes the row.
func (w Write) Delete() bool { return w.delete }

// Transaction is a set of conditions and writes that applies as a whole or not at all.
type Transaction struct {
	conditions []Condition
	writes     []Write
}

// NewTransaction returns a transaction.
func NewTransaction(conditions []Condition, writes []Write) Transaction {
	return Transaction{conditions: conditions, writes: writes}
}

// Conditions returns the conditions that must all hold.
func (t Transaction) Conditions() []Condition { return t.conditions }

// Writes returns the writes in the order in which they apply.
func (t Transaction) Writes() []Write { return t.writes }

// CommitOutcome is the outcome of Table.Commit: Committed, Conflict, Rejected, Unavailable or OutcomeUnknown.
type CommitOutcome interface{ commitOutcome() }

// ScanOutcome is the outcome of Table.Scan: Rows or Unavailable.
type ScanOutcome interface{ scanOutcome() }

// Committed means that the transaction was applied.
type Committed struct{ version uint64 }

// NewCommitted returns a Committed outcome.
func NewCommitted(version uint64) Committed { return Committed{version: version} }

// Version returns the table version that the commit created, which is now the version of each row it wrote.
func (c Committed) Version() uint64 { return c.version }

// Conflict means that a condition didn't hold and nothing was applied.
type Conflict struct{ row Row }

// NewConflict returns a Conflict outcome with the current row.
func NewConflict(row Row) Conflict { return Conflict{row: row} }

// Row returns the current state of the row that failed its condition, with version 0 if it doesn't exist.
func (c Conflict) Row() Row { return c.row }

// Rejected means that the table never applies the transaction because of its content, such as a row that is too long.
// Nothing was applied. To commit it again unchanged is pointless.
type Rejected struct{ reason string }

// NewRejected returns a Rejected outcome.
func NewRejected(reason string) Rejected { return Rejected{reason: reason} }

// Reason returns a short text for logs.
func (r Rejected) Reason() string { return r.reason }

// Rows is the result of a scan.
type Rows struct {
	rows    []Row
	version uint64
}

// NewRows returns a Rows outcome.
func NewRows(rows []Row, version uint64) Rows { return Rows{rows: rows, version: version} }

// Rows returns the changed rows in key order.
func (r Rows) Rows() []Row { return r.rows }

// Version returns the table version at which the scan was taken.
func (r Rows) Version() uint64 { return r.version }

// Unavailable means that the service couldn't be reached or rejected the operation, which had no effect.
type Unavailable struct{ reason string }

// NewUnavailable returns an Unavailable outcome.
func NewUnavailable(reason string) Unavailable { return Unavailable{reason: reason} }

// Reason returns a short text for logs.
func (u Unavailable) Reason() string { return u.reason }

// OutcomeUnknown means that the request was sent and no reply was received: it may have taken effect, or may do so
// later.
type OutcomeUnknown struct{ reason string }

// NewOutcomeUnknown returns an OutcomeUnknown.
func NewOutcomeUnknown(reason string) OutcomeUnknown { return OutcomeUnknown{reason: reason} }

// Reason returns a short text for logs.
func (u OutcomeUnknown) Reason() string { return u.reason }

func (Committed) commitOutcome()      {}
func (Conflict) commitOutcome()       {}
func (Rejected) commitOutcome()       {}
func (Unavailable) commitOutcome()    {}
func (OutcomeUnknown) commitOutcome() {}
func (Rows) scanOutcome()             {}
func (Unavailable) scanOutcome()      {}
