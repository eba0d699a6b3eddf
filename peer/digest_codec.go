package peer

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
)

// DigestEncoder encodes the digests that are sent to one peer. It encodes the load as a delta to the digest before, or
// in full if the peer hasn't acknowledged that digest or FullDigestInterval has passed since the last full digest. It
// isn't safe for concurrent use.
type DigestEncoder struct {
	// position is the position of the last digest. Its stream is random, so that the peer doesn't apply a delta to the
	// digest of another encoder, which the same member used before a restart or an eviction.
	position DigestPosition
	// member and incarnation are those of the last digest.
	member      string
	incarnation uint64
	tables      loadTables
	nextFullAt  time.Time
}

// Encode returns the next digest for the peer. Acknowledged is the position of the last digest that the peer
// acknowledged as decoded. A digest without load has no position and leaves the state of the encoder as it is.
func (e *DigestEncoder) Encode(d Digest, acknowledged DigestPosition, now time.Time) *peerwire.Digest {
	if d.omitsLoad {
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
		Uncovered: int64(d.uncovered), Recognized: d.recognized, Leaving: d.draining,
	}
	if acknowledged != e.position || d.incarnation != e.incarnation || d.member != e.member || !now.Before(e.nextFullAt) {
		e.tables = loadTables{}
		w.Base = 0
		e.nextFullAt = now.Add(FullDigestInterval)
	}
	next := loadTablesOf(d)
	w.Pools = encodeTable(e.tables.pools, next.pools, poolColumns)
	w.Teams = encodeTable(e.tables.teams, next.teams, teamColumns)
	w.Waits = encodeTable(e.tables.waits, next.waits, waitColumns)
	e.member, e.incarnation = d.member, d.incarnation
	e.tables = next
	e.position.sequence++
	return w
}

// Reset makes Encode return a full digest next, for a peer that rejected a delta because it lacks the base.
func (e *DigestEncoder) Reset() { e.nextFullAt = time.Time{} }

// DigestDecoder decodes the digests received from one peer. It isn't safe for concurrent use.
type DigestDecoder struct {
	last   DigestPosition
	tables loadTables
}

// LastDecoded returns the position of the last digest that was decoded, for the acknowledgement to the peer. Digests
// without load don't count.
func (d *DigestDecoder) LastDecoded() DigestPosition { return d.last }

// Decode returns the digest with its load in full, or without load if it was sent without. It returns false if the
// digest is a delta to another digest than the last one decoded, or arrives after a later digest of its stream. The
// peer then sends a full digest next, because LastDecoded doesn't acknowledge this one.
func (d *DigestDecoder) Decode(w *peerwire.Digest) (Digest, bool) {
	if w.GetSequence() == 0 {
		return loadTables{}.digest(w).WithoutLoad(), true
	}
	p := DigestPosition{stream: w.GetStream(), sequence: w.GetSequence()}
	if p.stream == d.last.stream && p.sequence <= d.last.sequence {
		return Digest{}, false
	}
	var base loadTables
	if w.GetBase() != 0 {
		if d.last != (DigestPosition{stream: p.stream, sequence: w.GetBase()}) {
			return Digest{}, false
		}
		base = d.tables
	}
	pools, poolsOK := decodeTable(base.pools, w.GetPools(), poolColumns)
	teams, teamsOK := decodeTable(base.teams, w.GetTeams(), teamColumns)
	waits, waitsOK := decodeTable(base.waits, w.GetWaits(), waitColumns)
	if !poolsOK || !teamsOK || !waitsOK {
		return Digest{}, false
	}
	d.tables = loadTables{pools: pools, teams: teams, waits: waits}
	d.last = p
	return d.tables.digest(w), true
}
