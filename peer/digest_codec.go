package peer

import (
	"time"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
)

// DigestEncoder encodes the digests that are sent to one peer. A digest holds only what has changed since the one
// before, unless the peer hasn't confirmed that one or WholeDigestInterval has passed. It isn't safe for concurrent
// use.
type DigestEncoder struct {
	sent     Digest
	tables   digestTables
	sequence uint64
	wholeAt  time.Time
}

// Encode returns the next digest for the peer. Heard is the sequence number of the last digest that the peer says it
// decoded, 0 if none.
func (e *DigestEncoder) Encode(d Digest, heard uint64, now time.Time) *peerwire.Digest {
	w := &peerwire.Digest{
		Member: d.member, Incarnation: d.incarnation, Sequence: e.sequence + 1, Base: e.sequence,
		ConfigurationVersion: d.version, TableReachable: d.tableReachable,
		Uncovered: int64(d.uncovered), Recognized: d.recognized,
	}
	if heard != e.sequence || e.sequence == 0 || d.incarnation != e.sent.incarnation || d.member != e.sent.member ||
		!now.Before(e.wholeAt) {
		e.tables = digestTables{}
		w.Base = 0
		e.wholeAt = now.Add(WholeDigestInterval)
	}
	next := tablesOf(d)
	w.Pools = encodeTable(e.tables.pools, next.pools, poolColumns)
	w.Teams = encodeTable(e.tables.teams, next.teams, teamColumns)
	w.Waits = encodeTable(e.tables.waits, next.waits, waitColumns)
	e.sent = d
	e.tables = next
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
	tables   digestTables
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

	var base digestTables
	if w.GetBase() != 0 {
		base = d.tables
	}
	pools, poolsFit := decodeTable(base.pools, w.GetPools(), poolColumns)
	teams, teamsFit := decodeTable(base.teams, w.GetTeams(), teamColumns)
	waits, waitsFit := decodeTable(base.waits, w.GetWaits(), waitColumns)
	if !poolsFit || !teamsFit || !waitsFit {
		return Digest{}, false
	}
	d.tables = digestTables{pools: pools, teams: teams, waits: waits}
	d.heard = d.tables.digest(w)
	d.sequence = w.GetSequence()
	return d.heard, true
}
