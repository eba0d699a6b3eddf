package fleet

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// TermKey is the key of the term row, which names the entry VM that is in control.
const TermKey = "control/term"

// Term is the term row.
type Term struct {
	// Holder is the entry VM in control, or "" if it gave up control.
	Holder string `json:"holder"`
	// Process tells apart the processes that an entry VM ran, by their start in Unix milliseconds.
	Process int64 `json:"process"`
	// Renewals rises with each renewal.
	Renewals int64 `json:"renewals"`
	// LeaseMS bounds how long after the term, and the time that its controller goes on extending leases, a server may work
	// on, in milliseconds by the server's clock.
	LeaseMS int64 `json:"lease-ms"`
	// DurationMS is how long the term lasts from when it was asked for, in milliseconds.
	DurationMS int64 `json:"duration-ms"`

	version uint64
}

// Encode returns the row's value.
func (t Term) Encode() []byte {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err) // strings and numbers
	}
	return data
}

// DecodeTerm reads the term row.
func DecodeTerm(row provider.Row) (Term, error) {
	t := Term{version: row.Version()}
	if row.Version() == 0 || row.Deleted() {
		return t, nil
	}
	return t, errors.Wrap(json.Unmarshal(row.Value(), &t), "decode the term row")
}

// Duration returns how long the term lasts from when it was asked for.
func (t Term) Duration() time.Duration { return time.Duration(t.DurationMS) * time.Millisecond }

// Lease bounds the leases that its controller granted. Rows of releases that didn't tell it are taken for the longest.
func (t Term) Lease() time.Duration {
	if t.LeaseMS == 0 {
		return LongLease
	}
	return time.Duration(t.LeaseMS) * time.Millisecond
}

// Version returns the version of the row, 0 if there is none.
func (t Term) Version() uint64 { return t.version }

// WithVersion returns the term with the version of its row.
func (t Term) WithVersion(version uint64) Term {
	t.version = version
	return t
}

// Watch decides when an entry VM that isn't in control takes over. Times are those of a clock that counts suspensions.
type Watch struct {
	// Preference is how much later than others this entry VM takes over.
	Preference time.Duration
	// Self names the entry VM. A term that an earlier process of it held is over: that process has ended.
	Self string
	// Slow watches read the row less often.
	Slow bool

	term  Term
	since time.Time
	known bool
}

// Observe takes in the term row as it was read at the given time.
func (w *Watch) Observe(t Term, now time.Time) {
	if !w.known || t.version != w.term.version {
		w.term, w.since, w.known = t, now, true
	}
}

// Term returns the term row as it was read last.
func (w *Watch) Term() Term { return w.term }

// Due reports whether this entry VM may take over. A term that isn't renewed for its duration is over, because its
// holder counts from before it asked for the renewal.
func (w *Watch) Due(now time.Time) bool {
	if !w.known {
		return false
	}
	if w.term.Holder == w.Self {
		return true
	}
	if w.term.Holder == "" {
		return now.Sub(w.since) >= w.Preference
	}
	return now.Sub(w.since) >= w.term.Duration()+leaseSlack+w.Preference
}

// Pause returns how long to wait before the row is read again.
//
// Load pattern: the controller is cut off or loses power at the peak of a burst, and nothing starts until another entry
// VM has control. The row is read often only while a renewal is missing.
func (w *Watch) Pause(now time.Time) time.Duration {
	if w.known && w.term.Holder != "" && now.Sub(w.since) >= w.term.Duration()/2 {
		return closeWatchInterval
	}
	if w.Slow {
		return slowWatchInterval
	}
	return watchInterval
}
