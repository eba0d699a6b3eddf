package peer

import (
	"time"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
	"github.com/pistachiolead/pistachiolead/platform"
)

// DigestEncoder encodes the digests that are sent to one peer. A digest holds only what has changed since the one
// before, unless the peer hasn't confirmed that one or WholeDigestInterval has passed. It isn't safe for concurrent
// use.
type DigestEncoder struct {
	sent     Digest
	sequence uint64
	wholeAt  time.Time
}

// Encode returns the next digest for the peer. Heard is the sequence number of the last digest that the peer says it
// decoded, 0 if none.
func (e *DigestEncoder) Encode(d Digest, heard uint64, now time.Time) *peerwire.Digest {
	base := e.sent
	w := &peerwire.Digest{
		Member: d.member, Incarnation: d.incarnation, Sequence: e.sequence + 1, Base: e.sequence,
		ConfigurationVersion: d.version, TableReachable: d.tableReachable,
		Uncovered: int64(d.uncovered), Recognized: d.recognized,
	}
	if heard != e.sequence || e.sequence == 0 || d.incarnation != base.incarnation || d.member != base.member ||
		!now.Before(e.wholeAt) {
		base = Digest{}
		w.Base = 0
		e.wholeAt = now.Add(WholeDigestInterval)
	}
	appendPools(w, base, d)
	appendTeams(w, base, d)
	appendWaits(w, base, d)
	e.sent = d
	e.sequence++
	return w
}

// Reset makes the next digest whole and its sequence number larger than the given one, for a peer that refused
// a digest because it has heard a later one.
func (e *DigestEncoder) Reset(sequence uint64) {
	e.sequence = max(e.sequence, sequence)
	e.wholeAt = time.Time{}
}

// DigestDecoder decodes the digests that come from one peer. It isn't safe for concurrent use.
type DigestDecoder struct {
	heard    Digest
	sequence uint64
}

// Heard returns the sequence number of the last digest that was decoded and the incarnation that sent it, 0 if there
// is none.
func (d *DigestDecoder) Heard() (sequence, incarnation uint64) {
	return d.sequence, d.heard.incarnation
}

// Decode returns the whole digest. It returns false if the digest changes one that wasn't decoded here; the next digest
// is then whole, because Heard doesn't confirm this one.
func (d *DigestDecoder) Decode(w *peerwire.Digest) (Digest, bool) {
	same := w.GetMember() == d.heard.member && w.GetIncarnation() == d.heard.incarnation
	if w.GetBase() != 0 && (!same || w.GetBase() != d.sequence) {
		return Digest{}, false
	}
	// A whole digest that was overtaken must not replace a later one.
	if same && w.GetSequence() <= d.sequence {
		return Digest{}, false
	}

	base := d.heard
	if w.GetBase() == 0 {
		base = Digest{}
	}
	r := NewDigest(w.GetMember(), w.GetIncarnation(), w.GetConfigurationVersion(), w.GetTableReachable()).
		WithFreeSlots(base.free).WithRunning(base.running).WithWanted(base.wanted).WithOldestWait(base.oldest).
		WithUncovered(int(w.GetUncovered())).WithRecognized(w.GetRecognized())
	for _, p := range w.GetPools() {
		setCount(r.free, p.GetName(), int(p.GetFreeSlots()))
	}
	for _, t := range w.GetTeams() {
		setCount(r.wanted, t.GetName(), int(t.GetWantedSlots()))
		s := platform.NewShape(int(t.GetProcessors()), int(t.GetMemoryMib()), int(t.GetAccelerators()), int(t.GetSlots()))
		r.running[t.GetName()] = s
		if s == (platform.Shape{}) {
			delete(r.running, t.GetName())
		}
	}
	for _, o := range w.GetWaits() {
		r.oldest[o.GetClass()] = time.Duration(o.GetMilliseconds()) * time.Millisecond
		if o.GetMilliseconds() == 0 {
			delete(r.oldest, o.GetClass())
		}
	}
	d.heard = r
	d.sequence = w.GetSequence()
	return r, true
}

func appendPools(w *peerwire.Digest, base, d Digest) {
	for _, p := range union(base.Pools(), d.Pools()) {
		if base.free[p] != d.free[p] {
			w.Pools = append(w.Pools, &peerwire.Pool{Name: p, FreeSlots: int64(d.free[p])})
		}
	}
}

func appendTeams(w *peerwire.Digest, base, d Digest) {
	for _, t := range union(base.Teams(), d.Teams()) {
		s := d.running[t]
		if base.running[t] == s && base.wanted[t] == d.wanted[t] {
			continue
		}
		w.Teams = append(w.Teams, &peerwire.Team{
			Name: t, Processors: int64(s.Processors()), MemoryMib: int64(s.MemoryMiB()),
			Accelerators: int64(s.Accelerators()), Slots: int64(s.Slots()), WantedSlots: int64(d.wanted[t]),
		})
	}
}

func appendWaits(w *peerwire.Digest, base, d Digest) {
	for _, c := range union(base.Classes(), d.Classes()) {
		if base.oldest[c] != d.oldest[c] {
			w.Waits = append(w.Waits, &peerwire.Wait{Class: c, Milliseconds: d.oldest[c].Milliseconds()})
		}
	}
}

func setCount(counts map[string]int, name string, n int) {
	if n == 0 {
		delete(counts, name)
		return
	}
	counts[name] = n
}

// union merges two ordered lists without repetition.
func union(a, b []string) []string {
	merged := make([]string, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] < b[0]:
			merged, a = append(merged, a[0]), a[1:]
		case a[0] > b[0]:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged, a, b = append(merged, a[0]), a[1:], b[1:]
		}
	}
	return append(append(merged, a...), b...)
}
