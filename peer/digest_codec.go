package peer

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
)

// DigestEncoder encodes the digests that are sent to one peer. A digest holds only what has changed since the one
// before, unless the peer hasn't confirmed that one or WholeDigestInterval has passed. It isn't safe for concurrent
// use.
type DigestEncoder struct {
	// position is that of the last digest. Its random stream keeps the peer from taking a digest of another encoder,
	// of the same member but before a restart or an eviction, for the base of a change.
	position Position
	member   string
	// incarnation is that of the last digest.
	incarnation uint64
	tables      digestTables
	wholeAt     time.Time
}

// Encode returns the next digest for the peer. One without tables isn't numbered and changes nothing here. Heard is the position of the last digest that the peer says it decoded.
func (e *DigestEncoder) Encode(d Digest, heard Position, now time.Time) *peerwire.Digest {
	if d.bare {
		return &peerwire.Digest{
			Member: d.member, Incarnation: d.incarnation, ConfigurationVersion: d.version,
			TableReachable: d.tableReachable, Uncovered: int64(d.uncovered), Recognized: d.recognized,
		}
	}
	for e.position.stream == 0 {
		e.position.stream = rand.Uint32()
	}
	w := &peerwire.Digest{
		Member: d.member, Incarnation: d.incarnation, Stream: e.position.stream, Sequence: e.position.sequence + 1,
		Base: e.position.sequence, ConfigurationVersion: d.version, TableReachable: d.tableReachable,
		Uncovered: int64(d.uncovered), Recognized: d.recognized, Leaving: d.leaving,
	}
	if heard != e.position || d.incarnation != e.incarnation || d.member != e.member || !now.Before(e.wholeAt) {
		e.tables = digestTables{}
		w.Base = 0
		e.wholeAt = now.Add(WholeDigestInterval)
	}
	next := tablesOf(d)
	w.Pools = encodeTable(e.tables.pools, next.pools, poolColumns)
	w.Teams = encodeTable(e.tables.teams, next.teams, teamColumns)
	w.Waits = encodeTable(e.tables.waits, next.waits, waitColumns)
	e.member, e.incarnation = d.member, d.incarnation
	e.tables = next
	e.position.sequence++
	return w
}

// Reset makes the next digest whole, for a peer that refused one because it lacks the base.
func (e *DigestEncoder) Reset() { e.wholeAt = time.Time{} }

// DigestDecoder decodes the digests that come from one peer. It isn't safe for concurrent use.
type DigestDecoder struct {
	heard  Position
	tables digestTables
}

// Heard returns the position of the last digest that was decoded.
func (d *DigestDecoder) Heard() Position { return d.heard }

// Decode returns the whole digest, or the one without tables that was sent. It returns false if the digest changes one that isn't the last one decoded here, or was
// overtaken by it. The peer's next digest is then whole, because Heard doesn't confirm this one.
func (d *DigestDecoder) Decode(w *peerwire.Digest) (Digest, bool) {
	if w.GetSequence() == 0 {
		return digestTables{}.digest(w).WithoutTables(), true
	}
	p := Position{stream: w.GetStream(), sequence: w.GetSequence()}
	if p.stream == d.heard.stream && p.sequence <= d.heard.sequence {
		return Digest{}, false
	}
	var base digestTables
	if w.GetBase() != 0 {
		if d.heard != (Position{stream: p.stream, sequence: w.GetBase()}) {
			return Digest{}, false
		}
		base = d.tables
	}
	pools, poolsFit := decodeTable(base.pools, w.GetPools(), poolColumns)
	teams, teamsFit := decodeTable(base.teams, w.GetTeams(), teamColumns)
	waits, waitsFit := decodeTable(base.waits, w.GetWaits(), waitColumns)
	if !poolsFit || !teamsFit || !waitsFit {
		return Digest{}, false
	}
	d.tables = digestTables{pools: pools, teams: teams, waits: waits}
	d.heard = p
	return d.tables.digest(w), true
}
