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
	// Processors is the processor time of the holder in cores, or 0 in rows of releases that didn't store it.
	Processors float64 `json:"processors,omitempty"`
	// Successor is the entry VM for which the leader resigned, or "" if there is none.
	Successor string `json:"successor,omitempty"`
	// FullForMS is after how many milliseconds new jobs are expected to be accepted again, or 0 if they are accepted.
	FullForMS int64 `json:"full-for-ms,omitempty"`
	// Waits are the least times that new jobs wait, by pool.
	Waits map[string]Wait `json:"waits-ms,omitempty"`

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

// FullFor returns after which time new jobs are expected to be accepted again, or 0 if they are accepted.
func (t Term) FullFor() time.Duration { return time.Duration(t.FullForMS) * time.Millisecond }

// Version returns the store version of the row, or 0 if there is no row.
func (t Term) Version() uint64 { return t.version }

// WithVersion returns a copy of the term with the store version of its row.
func (t Term) WithVersion(version uint64) Term {
	t.version = version
	return t
}

// ClaimKey is the key of the row with the latest claim on a term.
const ClaimKey = "control/claim"

// Claim is a request of an entry VM to a leader with much less processor time to resign in its favor. Holder and Process
// are those of the claimed term, so that a claim has no effect on later leaders.
type Claim struct {
	Claimant string `json:"claimant"`
	Holder   string `json:"holder"`
	Process  int64  `json:"process"`
	// Renewals is that of the term row when the claim was made.
	Renewals int64 `json:"renewals"`
}

// Encode returns the value of the claim's row.
func (c Claim) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return data
}

// DecodeClaim decodes the row of a claim. A row that is missing or deleted gives an empty claim.
func DecodeClaim(row provider.Row) (Claim, error) {
	var c Claim
	if row.Version() == 0 || row.Deleted() {
		return c, nil
	}
	return c, errors.Wrap(json.Unmarshal(row.Value(), &c), "decode the claim row")
}

// Stale reports whether the claim is on the given term, and the leader has renewed the term too often since. The claimant
// may then be gone.
func (c Claim) Stale(t Term) bool {
	return c.Claims(t) && t.Renewals-c.Renewals > maxRenewalsAfterClaim
}

// Claims reports whether the claim is on the given term.
func (c Claim) Claims(t Term) bool {
	return t.Holder != "" && c.Holder == t.Holder && c.Process == t.Process
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
	// Processors is the processor time of this entry VM in cores.
	Processors float64
	// SufficientProcessors is the processor time from which on a leader's term isn't claimed. 0 stands for no limit.
	SufficientProcessors float64

	term     Term
	since    time.Time // when the present version of the row was first read
	known    bool
	heldFrom time.Time // when the row first named its present holder
	readAt   time.Time // when the row was last read
	// readableSince is when the row could be read again after an outage of the store.
	readableSince time.Time
	claimedAt     time.Time // when this entry VM last claimed the present holder's term
}

// Observe records the term row that was read at the given time.
func (w *TermWatch) Observe(t Term, now time.Time) {
	if w.known && now.Sub(w.readAt) > maxReadGap {
		w.readableSince = now
	}
	w.readAt = now
	if w.known && t.version == w.term.version {
		return
	}
	if !w.known || t.Holder != w.term.Holder || t.Process != w.term.Process {
		w.heldFrom, w.claimedAt = now, time.Time{}
	}
	w.term, w.since, w.known = t, now, true
}

// Since returns when the present version of the term row was first read.
func (w *TermWatch) Since() time.Time { return w.since }

// Term returns the term row that was read last.
func (w *TermWatch) Term() Term { return w.term }

// TakeoverDue reports whether this entry VM may take over. A term that isn't renewed for its duration is over, because
// its holder counts the duration from before it sent the renewal.
//
// If the row couldn't be read for a while, the takeover delay counts from when it can be read again. Otherwise the delays
// of all entry VMs would have passed, and a leader with little processor time could be the first to read the row.
func (w *TermWatch) TakeoverDue(now time.Time) bool {
	if !w.known {
		return false
	}
	if w.term.Holder == w.EntryVM || (w.term.Holder == "" && w.term.Successor == w.EntryVM) {
		return true
	}
	over := w.since
	switch {
	case w.term.Holder != "":
		over = over.Add(w.term.Duration() + leaseMargin)
	case w.term.Successor != "":
		over = over.Add(successorGrace)
	}
	delay := w.TakeoverDelay
	if over.Before(w.readableSince) {
		over = w.readableSince
		if w.Slow {
			delay += slowVMOutageDelay
		}
	}
	return now.Sub(over) >= delay
}

// ClaimDue reports whether this entry VM should claim the term, because the leader has much less processor time.
func (w *TermWatch) ClaimDue(now time.Time) bool {
	if !w.known || w.term.Holder == "" || w.term.Processors <= 0 || w.Processors < claimFactor*w.term.Processors {
		return false
	}
	if w.SufficientProcessors > 0 && w.term.Processors >= w.SufficientProcessors {
		return false
	}
	return now.Sub(w.heldFrom) >= claimDelay+w.TakeoverDelay && (w.claimedAt.IsZero() || now.Sub(w.claimedAt) >= claimInterval)
}

// RecordClaim records that this entry VM, or another one, has claimed the term.
func (w *TermWatch) RecordClaim(now time.Time) { w.claimedAt = now }

// ReadDelay returns how long to wait before the row is read again.
//
// If the leader is partitioned or loses power at the peak of a burst, no run starts until another entry VM is the
// leader. The row is therefore read more often while a renewal is overdue, and only then.
func (w *TermWatch) ReadDelay(now time.Time) time.Duration {
	if w.known && w.term.Holder != "" && now.Sub(w.since) >= w.term.Duration()/2 {
		return lateTermPollInterval
	}
	if !w.claimedAt.IsZero() && now.Sub(w.claimedAt) < successorGrace {
		return lateTermPollInterval
	}
	if w.Slow {
		return slowTermPollInterval
	}
	return termPollInterval
}
