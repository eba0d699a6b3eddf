package freshness

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Propagation tracks how far configuration versions have propagated and decides when a version is in force. Set the
// exported fields before use.
//
// A version is in force when every member has acknowledged it, or when Duration and Guard have passed, because then
// every lease on a lower version has expired. Acknowledgements suffice only if the member set was read from the table
// at that version or a later one, since an older set may lack an entry VM that joined before the commit. A removed
// member is awaited for Duration and Guard after its removal, as it may not know yet that it was removed.
type Propagation struct {
	// Self is the id of this entry VM.
	Self string
	// LeaseDuration is the duration of the leases of all entry VMs (G).
	LeaseDuration time.Duration
	// GuardInterval is the guard interval. It covers the drift between the clocks of two entry VMs during Duration.
	GuardInterval time.Duration

	applied        []appliedVersion
	inForce        uint64
	acked          map[string]uint64
	members        []string
	removed        map[string]time.Time
	membersVersion uint64
	joined         bool
	unrecognizedBy map[string]bool
	recognizedAt   time.Time
}

// appliedVersion is a committed version and the time at which this entry VM applied it.
type appliedVersion struct {
	version uint64
	at      time.Time
}

// SetMembers records the members that a read of the table returned, the configuration version of the same read, and
// the time at which its result was handled. Reads must be passed in the order of their send times.
func (a *Propagation) SetMembers(ids []string, version uint64, now time.Time) {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	a.updateRemoved(ids, now)
	a.members = ids
	a.membersVersion = max(a.membersVersion, version)

	if !slices.Contains(ids, a.Self) {
		a.joined, a.unrecognizedBy = false, nil
		return
	}
	if !a.joined {
		a.startJoin()
	}
	a.updateRecognition(now)
}

// Applied records that this entry VM has applied version, which is committed. Versions up to the newest one are
// ignored.
func (a *Propagation) Applied(version uint64, now time.Time) {
	if version <= a.newest() {
		return
	}
	a.applied = append(a.applied, appliedVersion{version: version, at: now})
	if len(a.applied) > maxTrackedVersions {
		a.applied = slices.Delete(a.applied, 0, len(a.applied)-maxTrackedVersions)
	}
}

// Acknowledged records that member has version or a higher one. Entry VMs that are neither members nor recently
// removed are ignored.
func (a *Propagation) Acknowledged(member string, version uint64) {
	if !slices.Contains(a.members, member) && a.removed[member].IsZero() {
		return
	}
	if a.acked == nil {
		a.acked = make(map[string]uint64)
	}
	a.acked[member] = max(a.acked[member], version)
}

// Recognized records that member has read the row of this entry VM from the table (Grant.Recognizes).
func (a *Propagation) Recognized(member string, now time.Time) {
	if !a.unrecognizedBy[member] {
		return
	}
	delete(a.unrecognizedBy, member)
	a.updateRecognition(now)
}

// MayPublish reports whether this entry VM may commit, push and relay configuration: it must be a member, and every
// member that was present when it joined must have read its row and thus take the lease of this entry VM into
// account.
func (a *Propagation) MayPublish(now time.Time) bool {
	return a.recognized() && !now.Before(a.recognizedAt)
}

// Unrecognized returns the ids of the members that haven't read the row of this entry VM yet, sorted.
func (a *Propagation) Unrecognized() []string { return slices.Sorted(maps.Keys(a.unrecognizedBy)) }

// Status returns the status of version at now. A version that was once reported as in force stays in force.
func (a *Propagation) Status(version uint64, now time.Time) Status {
	if version == 0 || version > a.newest() {
		return NotCommitted{}
	}
	if version <= a.inForce {
		return InForce{}
	}
	if !a.recognized() {
		return NewPending(a.awaited(version, now), now.Add(a.leaseBound()))
	}

	latest := later(a.appliedAt(version), a.recognizedAt).Add(a.leaseBound())
	awaited := a.awaited(version, now)
	if now.Before(latest) && !a.acknowledgedByAll(version, awaited, now) {
		return NewPending(awaited, latest)
	}
	a.inForce = version
	return InForce{}
}

// acknowledgedByAll reports whether the acknowledgements suffice to bring version into force. For a new member they
// don't until Duration and Guard have passed, because it doesn't know which members were removed shortly before it
// joined.
func (a *Propagation) acknowledgedByAll(version uint64, awaited []string, now time.Time) bool {
	return len(awaited) == 0 && a.membersVersion >= version && !now.Before(a.recognizedAt.Add(a.leaseBound()))
}

// awaited returns the ids of the members and recently removed members that haven't acknowledged version, sorted.
func (a *Propagation) awaited(version uint64, now time.Time) []string {
	var ids []string
	for _, m := range a.members {
		if m != a.Self && a.acked[m] < version {
			ids = append(ids, m)
		}
	}
	for id, at := range a.removed {
		if a.acked[id] < version && now.Before(at.Add(a.leaseBound())) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// updateRemoved records the members that are missing in ids as removed, and deletes records that have expired.
func (a *Propagation) updateRemoved(ids []string, now time.Time) {
	if a.removed == nil {
		a.removed = make(map[string]time.Time)
	}
	for _, m := range a.members {
		if m != a.Self && !slices.Contains(ids, m) {
			a.removed[m] = now
			delete(a.unrecognizedBy, m)
		}
	}
	for id, at := range a.removed {
		if slices.Contains(ids, id) {
			delete(a.removed, id)
		} else if !now.Before(at.Add(a.leaseBound())) {
			delete(a.removed, id)
			delete(a.acked, id)
		}
	}
}

// startJoin records that this entry VM has become a member that no other member has recognized yet.
func (a *Propagation) startJoin() {
	a.joined = true
	a.recognizedAt = time.Time{}
	a.unrecognizedBy = make(map[string]bool)
	for _, m := range a.members {
		if m != a.Self {
			a.unrecognizedBy[m] = true
		}
	}
}

// updateRecognition sets recognizedAt when the last member has recognized this entry VM.
func (a *Propagation) updateRecognition(now time.Time) {
	if a.joined && len(a.unrecognizedBy) == 0 && a.recognizedAt.IsZero() {
		a.recognizedAt = now
	}
}

func (a *Propagation) recognized() bool { return a.joined && len(a.unrecognizedBy) == 0 }

// leaseBound returns the longest time for which another entry VM may act on a lower version, on the clock of this
// one.
func (a *Propagation) leaseBound() time.Duration { return a.LeaseDuration + a.GuardInterval }

func (a *Propagation) newest() uint64 {
	if len(a.applied) == 0 {
		return 0
	}
	return a.applied[len(a.applied)-1].version
}

// appliedAt returns when version was first known to be committed. A higher version implies the commit of a lower one.
func (a *Propagation) appliedAt(version uint64) time.Time {
	i := sort.Search(len(a.applied), func(i int) bool { return a.applied[i].version >= version })
	return a.applied[i].at
}
