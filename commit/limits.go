package commit

// Limits bounds the size and the rate of what a State sends.
type Limits struct {
	maxRows int
	rate    int
	rowRate float64
}

// NewLimits returns limits on the rows in a packed transaction, the packed transactions per second, and the rows per
// second.
func NewLimits(maxRows, rate int, rowRate float64) Limits {
	return Limits{maxRows: maxRows, rate: rate, rowRate: rowRate}
}

// MaxRows returns the maximum number of rows in a packed transaction, without the committer's own row. A submitted
// transaction with more rows is sent alone.
func (l Limits) MaxRows() int { return l.maxRows }

// Rate returns the maximum number of packed transactions per second.
func (l Limits) Rate() int { return l.rate }

// RowRate returns the maximum number of rows per second, including the committer's own rows.
func (l Limits) RowRate() float64 { return l.rowRate }
