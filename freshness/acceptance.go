package freshness

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Acceptance decides when a configuration version is in force. Set the exported fields before use.
//
// A version is in force when every member has acknowledged it, or when no entry VM can still be fresh with a lower
// version because Duration and Guard have passed. Acknowledgements alone count only if the member set was read from
// the table at that version or a later one, since an entry VM that joined before the commit may be missing from an
// older set. A removed member stays awaited for Duration and Guard, as it may not have noticed its removal.
type Acceptance struct {
	// Self is the id of this entry VM.
	Self string
	// Duration is G, the duration of the grants of all entry VMs.
	Duration time.Duration
	// Guard covers the drift between the clocks of two entry VMs during Duration.
	Guard time.Duration

	learned  []learning
	forced   uint64
	acked    map[string]uint64
	members  []string
	removed  map[string]time.Time
	read     uint64
	joined   bool
	unseen   map[string]bool
	admitted time.Time
}

type learning struct {
	version uint64
	at      time.Time
}

// SetMembers records the members of a table read, the configuration version that the same read showed, and the time at
// which the read was handled. Reads are passed in the order of their send times.
func (a *Acceptance) SetMembers(ids []string, version uint64, now time.Time) {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	a.remove(ids, now)
	a.members = ids
	a.read = max(a.read, version)

	if !slices.Contains(ids, a.Self) {
		a.joined, a.unseen = false, nil
		return
	}
	if !a.joined {
		a.join()
	}
	a.admit(now)
}

// Learned records that this entry VM holds version, which is committed. Lower versions than known are ignored.
func (a *Acceptance) Learned(version uint64, now time.Time) {
	if version <= a.newest() {
		return
	}
	a.learned = append(a.learned, learning{version: version, at: now})
	if len(a.learned) > maxVersions {
		a.learned = slices.Delete(a.learned, 0, len(a.learned)-maxVersions)
	}
}

// Acknowledged records that member holds version or a higher one.
func (a *Acceptance) Acknowledged(member string, version uint64) {
	if !slices.Contains(a.members, member) && a.removed[member].IsZero() {
		return
	}
	if a.acked == nil {
		a.acked = make(map[string]uint64)
	}
	a.acked[member] = max(a.acked[member], version)
}

// Recognized records that member has read the row of this entry VM from the table (Grant.Recognizes).
func (a *Acceptance) Recognized(member string, now time.Time) {
	if !a.unseen[member] {
		return
	}
	delete(a.unseen, member)
	a.admit(now)
}

// MayAuthor reports whether this entry VM may commit, push and relay configuration: it is a member, and every member
// that was there when it joined has read its row and so includes it in its own freshness.
func (a *Acceptance) MayAuthor(now time.Time) bool {
	return a.admittedMember() && !now.Before(a.admitted)
}

// Unrecognized returns the members that haven't read the row of this entry VM yet, sorted.
func (a *Acceptance) Unrecognized() []string { return slices.Sorted(maps.Keys(a.unseen)) }

// Status returns the state of version at now. A version that was in force once stays in force.
func (a *Acceptance) Status(version uint64, now time.Time) Status {
	if version == 0 || version > a.newest() {
		return NotCommitted{}
	}
	if version <= a.forced {
		return InForce{}
	}
	if !a.admittedMember() {
		return NewPending(a.awaited(version, now), now.Add(a.wait()))
	}

	latest := later(a.learnedAt(version), a.admitted).Add(a.wait())
	awaited := a.awaited(version, now)
	if now.Before(latest) && !a.acknowledged(version, awaited, now) {
		return NewPending(awaited, latest)
	}
	a.forced = version
	return InForce{}
}

// acknowledged reports whether acknowledgements alone bring version into force. A new member waits, because it doesn't
// know which members were removed shortly before it joined.
func (a *Acceptance) acknowledged(version uint64, awaited []string, now time.Time) bool {
	return len(awaited) == 0 && a.read >= version && !now.Before(a.admitted.Add(a.wait()))
}

func (a *Acceptance) awaited(version uint64, now time.Time) []string {
	var ids []string
	for _, m := range a.members {
		if m != a.Self && a.acked[m] < version {
			ids = append(ids, m)
		}
	}
	for id, at := range a.removed {
		if a.acked[id] < version && now.Before(at.Add(a.wait())) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (a *Acceptance) remove(ids []string, now time.Time) {
	if a.removed == nil {
		a.removed = make(map[string]time.Time)
	}
	for _, m := range a.members {
		if m != a.Self && !slices.Contains(ids, m) {
			a.removed[m] = now
			delete(a.unseen, m)
		}
	}
	for id, at := range a.removed {
		if slices.Contains(ids, id) {
			delete(a.removed, id)
		} else if !now.Before(at.Add(a.wait())) {
			delete(a.removed, id)
			delete(a.acked, id)
		}
	}
}

func (a *Acceptance) join() {
	a.joined = true
	a.admitted = time.Time{}
	a.unseen = make(map[string]bool)
	for _, m := range a.members {
		if m != a.Self {
			a.unseen[m] = true
		}
	}
}

func (a *Acceptance) admit(now time.Time) {
	if a.joined && len(a.unseen) == 0 && a.admitted.IsZero() {
		a.admitted = now
	}
}

func (a *Acceptance) admittedMember() bool { return a.joined && len(a.unseen) == 0 }

func (a *Acceptance) wait() time.Duration { return a.Duration + a.Guard }

func (a *Acceptance) newest() uint64 {
	if len(a.learned) == 0 {
		return 0
	}
	return a.learned[len(a.learned)-1].version
}

// learnedAt returns when version was first known to be committed, which a higher version shows as well.
func (a *Acceptance) learnedAt(version uint64) time.Time {
	i := sort.Search(len(a.learned), func(i int) bool { return a.learned[i].version >= version })
	return a.learned[i].at
}
