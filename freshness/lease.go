// Package freshness decides whether an entry VM may still act on its copy of the configuration (Lease), and when a
// configuration version is in force on every entry VM (Propagation). The inputs are reads of the table, replies to
// heartbeats, acknowledgements of versions, and the time.
//
// Together the two types guarantee: once any entry VM reports that a version is in force, no entry VM that is fresh
// has a lower version. The caller must ensure the following:
//
//   - Times are read from the monotonic clock of the process. The clocks of two entry VMs drift apart by less than
//     the guard interval during the duration of a lease.
//   - Heartbeats from an entry VM that Lease.Recognizes rejects get a reply, but the reply contains the
//     rejection, and its receiver doesn't pass it to Lease.HeartbeatReplied or Propagation.Recognized.
//   - An entry VM pushes or relays configuration to others, and commits it, only while Propagation.MayPublish is
//     true.
//   - Lease, Propagation and the copy of the configuration are changed together, on one goroutine.
//
// The guarantee includes an entry VM that was removed from the members while it still runs, provided that one entry
// VM that it knows stays a member.
package freshness

import (
	"slices"
	"time"
)

// Lease is the lease under which an entry VM may act on its copy of the configuration. It is renewed by reads of the
// table and by replies to heartbeats. Set the exported fields before use.
type Lease struct {
	// EntryVM is the id of this entry VM.
	EntryVM string
	// Duration is the duration of the lease (G), counted from the send time of the request that renewed it.
	Duration time.Duration

	version  uint64
	readSent time.Time
	members  []string
	replies  map[string]heartbeatReplies
}

// heartbeatReplies has the send times of the heartbeats to one member that got a reply.
type heartbeatReplies struct {
	confirmed time.Time // send time of the last one whose version was applied
	// sent and version are those of a reply with a version that isn't applied yet. sent is zero if there is none.
	sent    time.Time
	version uint64
}

// TableRead records a successful read of the table: its send time, and the configuration version and members that it
// returned. The caller must have applied the configuration of the read. A read that was sent before one already
// recorded is ignored, except for its version.
func (l *Lease) TableRead(sent time.Time, version uint64, members []string) {
	l.Applied(version)
	if sent.Before(l.readSent) {
		return
	}
	l.readSent = sent
	l.members = slices.Clone(members)
	slices.Sort(l.members)
	for id := range l.replies {
		if !l.Recognizes(id) {
			delete(l.replies, id)
		}
	}
}

// HeartbeatReplied records a heartbeat to which member replied: its send time, and the configuration version in the
// reply. If that version is higher than the one that this entry VM has, the reply renews the lease only once the
// version is applied.
func (l *Lease) HeartbeatReplied(member string, sent time.Time, version uint64) {
	if member == l.EntryVM || !l.Recognizes(member) {
		return
	}
	if l.replies == nil {
		l.replies = make(map[string]heartbeatReplies)
	}
	x := l.replies[member]
	if version > l.version {
		x.sent, x.version = sent, version
	} else {
		x.confirmed = later(x.confirmed, sent)
	}
	l.replies[member] = x
}

// Applied records that the copy of the configuration has reached version. Lower versions are ignored.
func (l *Lease) Applied(version uint64) {
	if version <= l.version {
		return
	}
	l.version = version
	for id, x := range l.replies {
		if x.sent.IsZero() || x.version > version {
			continue
		}
		l.replies[id] = heartbeatReplies{confirmed: later(x.confirmed, x.sent)}
	}
}

// Version returns the version of the configuration copy.
func (l *Lease) Version() uint64 { return l.version }

// Members returns the members as of the last read of the table, sorted. Callers must not modify the slice.
func (l *Lease) Members() []string { return l.members }

// Recognizes reports whether id is a member as of the last read of the table. Only replies to the heartbeats of
// members may renew a lease: otherwise a removed entry VM would stay fresh without learning of later changes.
func (l *Lease) Recognizes(id string) bool {
	_, ok := slices.BinarySearch(l.members, id)
	return ok
}

// Expiry returns the time at which the lease expires, the zero time if this entry VM isn't a member.
func (l *Lease) Expiry() time.Time {
	if !l.Recognizes(l.EntryVM) {
		return time.Time{}
	}
	return later(l.readSent, l.oldestReply()).Add(l.Duration)
}

// Fresh reports whether work may start at now, based on the copy of the configuration.
func (l *Lease) Fresh(now time.Time) bool { return now.Before(l.Expiry()) }

// oldestReply returns the earliest of the send times of the last heartbeats to which each other member replied. It is
// zero if one of them has replied to none, or if there are no other members, so that a lone entry VM depends on the
// table.
func (l *Lease) oldestReply() time.Time {
	var oldest time.Time
	for _, m := range l.members {
		if m == l.EntryVM {
			continue
		}
		at := l.replies[m].confirmed
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
