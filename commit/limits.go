package commit

// Limits bounds what a State sends.
type Limits struct {
	maxRows int
	rate    int
	rowRate float64
}

// NewLimits returns limits of rows in a packed transaction, packed transactions a second, and rows a second.
func NewLimits(maxRows, rate int, rowRate float64) Limits {
	return Limits{maxRows: maxRows, rate: rate, rowRate: rowRate}
}

// MaxRows returns the largest number of rows in a packed transaction. A larger submitted transaction is sent alone.
func (l Limits) MaxRows() int { return l.maxRows }

// Rate returns the packed transactions a second.
func (l Limits) Rate() int { return l.rate }

// RowRate returns the rows a second, the committer's own row included.
func (l Limits) RowRate() float64 { return l.rowRate }
