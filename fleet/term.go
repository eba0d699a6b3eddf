package fleet

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// TermKey is the key of the term row, which names the leading entry VM.
const TermKey = "control/term"

// Term is the content of the term row: which entry VM is the leader, and for how long.
type Term struct {
	// Holder is the name of the leading entry VM, or "" if it resigned.
	Holder string `json:"holder"`
	// Process is the start time of the holder's process in Unix milliseconds. It distinguishes processes of one entry
	// VM.
	Process int64 `json:"process"`
	// Renewals counts the writes of the term row.
	Renewals int64 `json:"renewals"`
	// LeaseMS is the longest lease that a server may hold beyond the end of the term and the time in which the
	// controller still extends leases, in milliseconds by the server's clock.
	LeaseMS int64 `json:"lease-ms"`
	// DurationMS is the duration of the term in milliseconds, counted from when its commit was sent.
	DurationMS int64 `json:"duration-ms"`

	version uint64
}

// Encode returns the value of the term row.
func (t Term) Encode() []byte {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return data
}

// DecodeTerm decodes the term row. A row that is missing or deleted gives a term without a holder.
func DecodeTerm(row provider.Row) (Term, error) {
	t := Term{version: row.Version()}
	if row.Version() == 0 || row.Deleted() {
		return t, nil
	}
	return t, errors.Wrap(json.Unmarshal(row.Value(), &t), "decode the term row")
}

// Duration returns the duration of the term, counted from when its commit was sent.
func (t Term) Duration() time.Duration { return time.Duration(t.DurationMS) * time.Millisecond }

// Lease returns the longest lease that the term's controller may have granted. It is LongLease for rows of releases
// that didn't store it.
func (t Term) Lease() time.Duration {
	if t.LeaseMS == 0 {
		return LongLease
	}
	return time.Duration(t.LeaseMS) * time.Millisecond
}

// Version returns the store version of the row, or 0 if there is no row.
func (t Term) Version() uint64 { return t.version }

// WithVersion returns a copy of the term with the store version of its row.
func (t Term) WithVersion(version uint64) Term {
	t.version = version
	return t
}

// TermWatch decides when an entry VM that isn't the leader takes over: it is given the term row each time that it is
// read, and says when leadership may be acquired and when to read the row again. Times must come from a clock that also
// advances while the VM is suspended.
type TermWatch struct {
	// TakeoverDelay is an additional delay before this entry VM takes over. It staggers the attempts of several VMs.
	TakeoverDelay time.Duration
	// EntryVM is the name of this entry VM. A term that an earlier process of the same VM held is over, as that process
	// has ended.
	EntryVM string
	// Slow makes the VM read the row less often. It is set for VMs with little processor time.
	Slow bool

	term  Term
	since time.Time
	known bool
}

// Observe records the term row that was read at the given time.
func (w *TermWatch) Observe(t Term, now time.Time) {
	if !w.known || t.version != w.term.version {
		w.term, w.since, w.known = t, now, true
	}
}

// Term returns the term row that was read last.
func (w *TermWatch) Term() Term { return w.term }

// TakeoverDue reports whether this entry VM may take over. A term that isn't renewed for its duration is over, because
// its holder counts the duration from before it sent the renewal.
func (w *TermWatch) TakeoverDue(now time.Time) bool {
	if !w.known {
		return false
	}
	if w.term.Holder == w.EntryVM {
		return true
	}
	if w.term.Holder == "" {
		return now.Sub(w.since) >= w.TakeoverDelay
	}
	return now.Sub(w.since) >= w.term.Duration()+leaseMargin+w.TakeoverDelay
}

// ReadDelay returns how long to wait before the row is read again.
//
// If the leader is partitioned or loses power at the peak of a burst, no run starts until another entry VM is the
// leader. The row is therefore read more often while a renewal is overdue, and only then.
func (w *TermWatch) ReadDelay(now time.Time) time.Duration {
	if w.known && w.term.Holder != "" && now.Sub(w.since) >= w.term.Duration()/2 {
		return lateTermPollInterval
	}
	if w.Slow {
		return slowTermPollInterval
	}
	return termPollInterval
}
