// Package freshness decides whether an entry VM may still act on its copy of the configuration (Grant), and when a
// configuration version is in force on every entry VM (Acceptance).
//
// Together they keep this guarantee: once any entry VM answers that a version is in force, no entry VM that is fresh
// holds a lower version. It rests on these duties of the caller:
//
//   - Times are read from the monotonic clock of the process. The clocks of two entry VMs drift apart by less than the
//     guard interval during the grant's duration.
//   - Heartbeats of an entry VM that Grant.Recognizes refuses are answered, but the answer says so, and its receiver
//     doesn't pass it to Grant.Exchanged or Acceptance.Recognized.
//   - An entry VM pushes or relays configuration to others, and commits it, only while Acceptance.MayAuthor holds.
//   - Grant, Acceptance and the copy of the configuration change together, on one goroutine.
//
// A VM that was removed from the members while it still runs is covered as long as one entry VM that it knows stays a
// member.
package freshness

import (
	"slices"
	"time"
)

// Grant tells how long an entry VM may act on its copy of the configuration. Set the exported fields before use.
type Grant struct {
	// Self is the id of this entry VM.
	Self string
	// Duration is G, counted from the send time of a confirmation.
	Duration time.Duration

	held      uint64
	read      time.Time
	members   []string
	exchanges map[string]exchange
}

// exchange is what is known of the heartbeats with one member.
type exchange struct {
	confirmed time.Time
	// sent and version are those of an answer that showed a version not yet held. sent is zero if there is none.
	sent    time.Time
	version uint64
}

// TableRead records a successful read of the table: its send time, and the configuration version and members that it
// showed. The caller has applied the configuration of the read. A read sent before one already recorded is ignored.
func (g *Grant) TableRead(sent time.Time, version uint64, members []string) {
	g.Holds(version)
	if sent.Before(g.read) {
		return
	}
	g.read = sent
	g.members = slices.Clone(members)
	slices.Sort(g.members)
	for id := range g.exchanges {
		if !g.Recognizes(id) {
			delete(g.exchanges, id)
		}
	}
}

// Exchanged records an answered heartbeat: when it was sent to member, and the configuration version in the answer. If
// that version is higher than the one held, the exchange counts only once the version is held.
func (g *Grant) Exchanged(member string, sent time.Time, version uint64) {
	if member == g.Self || !g.Recognizes(member) {
		return
	}
	if g.exchanges == nil {
		g.exchanges = make(map[string]exchange)
	}
	x := g.exchanges[member]
	if version > g.held {
		x.sent, x.version = sent, version
	} else {
		x.confirmed = later(x.confirmed, sent)
	}
	g.exchanges[member] = x
}

// Holds records that the configuration copy has reached version. Lower versions are ignored.
func (g *Grant) Holds(version uint64) {
	if version <= g.held {
		return
	}
	g.held = version
	for id, x := range g.exchanges {
		if x.sent.IsZero() || x.version > version {
			continue
		}
		g.exchanges[id] = exchange{confirmed: later(x.confirmed, x.sent)}
	}
}

// Version returns the version of the configuration copy.
func (g *Grant) Version() uint64 { return g.held }

// Members returns the members shown by the last table read, sorted. Callers must not modify the slice.
func (g *Grant) Members() []string { return g.members }

// Recognizes reports whether id is a member by the last table read. Only a member may count the answers to its
// heartbeats: otherwise a removed entry VM would stay fresh without knowing of later changes.
func (g *Grant) Recognizes(id string) bool {
	_, ok := slices.BinarySearch(g.members, id)
	return ok
}

// Until returns the time at which freshness ends. It is the zero time if this entry VM isn't a member.
func (g *Grant) Until() time.Time {
	if !g.Recognizes(g.Self) {
		return time.Time{}
	}
	return later(g.read, g.exchanged()).Add(g.Duration)
}

// Fresh reports whether work may start at now on the configuration copy.
func (g *Grant) Fresh(now time.Time) bool { return now.Before(g.Until()) }

// exchanged returns the oldest send time among the last exchanges with every other member. It is zero if one is
// missing, or if there are no other members, so that a lone entry VM depends on the table.
func (g *Grant) exchanged() time.Time {
	var oldest time.Time
	for _, m := range g.members {
		if m == g.Self {
			continue
		}
		at := g.exchanges[m].confirmed
		if at.IsZero() {
			return time.Time{}
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
