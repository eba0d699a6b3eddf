package freshness

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Propagation tracks which members have which configuration version and decides when a version is in force. Set the
// exported fields before use.
//
// A version is in force when every member has acknowledged it, or when LeaseDuration and GuardInterval have passed,
// because then every lease on a lower version has expired. Acknowledgements suffice only if the member set was read
// from the table at that version or a later one, since an older set may lack an entry VM that joined before the
// commit. A removed member is awaited for LeaseDuration and GuardInterval after its removal, as it may not know yet
// that it was removed.
type Propagation struct {
	// EntryVM is the id of this entry VM.
	EntryVM string
	// LeaseDuration is the duration of the leases of all entry VMs (G).
	LeaseDuration time.Duration
	// GuardInterval covers the drift between the clocks of two entry VMs during LeaseDuration.
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
func (p *Propagation) SetMembers(ids []string, version uint64, now time.Time) {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	p.updateRemoved(ids, now)
	p.members = ids
	p.membersVersion = max(p.membersVersion, version)

	if !slices.Contains(ids, p.EntryVM) {
		p.joined, p.unrecognizedBy = false, nil
		return
	}
	if !p.joined {
		p.startJoin()
	}
	p.updateRecognition(now)
}

// Applied records that this entry VM has applied version, which is committed. Versions up to the newest one are
// ignored.
func (p *Propagation) Applied(version uint64, now time.Time) {
	if version <= p.newest() {
		return
	}
	p.applied = append(p.applied, appliedVersion{version: version, at: now})
	if len(p.applied) > maxTrackedVersions {
		p.applied = slices.Delete(p.applied, 0, len(p.applied)-maxTrackedVersions)
	}
}

// Acknowledged records that member has version or a higher one. Entry VMs that are neither members nor recently
// removed are ignored.
func (p *Propagation) Acknowledged(member string, version uint64) {
	if !slices.Contains(p.members, member) && p.removed[member].IsZero() {
		return
	}
	if p.acked == nil {
		p.acked = make(map[string]uint64)
	}
	p.acked[member] = max(p.acked[member], version)
}

// Recognized records that member has read the row of this entry VM from the table (Lease.Recognizes).
func (p *Propagation) Recognized(member string, now time.Time) {
	if !p.unrecognizedBy[member] {
		return
	}
	delete(p.unrecognizedBy, member)
	p.updateRecognition(now)
}

// MayPublish reports whether this entry VM may commit, push and relay configuration: it must be a member, and every
// member that was present when it joined must have read its row and thus take the lease of this entry VM into
// account.
func (p *Propagation) MayPublish(now time.Time) bool {
	return p.recognized() && !now.Before(p.recognizedAt)
}

// Unrecognized returns the ids of the members that haven't read the row of this entry VM yet, sorted.
func (p *Propagation) Unrecognized() []string { return slices.Sorted(maps.Keys(p.unrecognizedBy)) }

// Status returns the status of version at now. A version that was once reported as in force stays in force.
func (p *Propagation) Status(version uint64, now time.Time) Status {
	if version == 0 || version > p.newest() {
		return NotCommitted{}
	}
	if version <= p.inForce {
		return InForce{}
	}
	if !p.recognized() {
		return NewPending(p.awaited(version, now), now.Add(p.leaseBound()))
	}

	latest := later(p.appliedAt(version), p.recognizedAt).Add(p.leaseBound())
	awaited := p.awaited(version, now)
	if now.Before(latest) && !p.acknowledgedByAll(version, awaited, now) {
		return NewPending(awaited, latest)
	}
	p.inForce = version
	return InForce{}
}

// acknowledgedByAll reports whether the acknowledgements suffice to bring version into force. For a new member they
// don't until LeaseDuration and GuardInterval have passed, because it doesn't know which members were removed shortly
// before it joined.
func (p *Propagation) acknowledgedByAll(version uint64, awaited []string, now time.Time) bool {
	return len(awaited) == 0 && p.membersVersion >= version && !now.Before(p.recognizedAt.Add(p.leaseBound()))
}

// awaited returns the ids of the members and recently removed members that haven't acknowledged version, sorted.
func (p *Propagation) awaited(version uint64, now time.Time) []string {
	var ids []string
	for _, m := range p.members {
		if m != p.EntryVM && p.acked[m] < version {
			ids = append(ids, m)
		}
	}
	for id, at := range p.removed {
		if p.acked[id] < version && now.Before(at.Add(p.leaseBound())) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// updateRemoved records the members that are missing in ids as removed, and deletes records that have expired.
func (p *Propagation) updateRemoved(ids []string, now time.Time) {
	if p.removed == nil {
		p.removed = make(map[string]time.Time)
	}
	for _, m := range p.members {
		if m != p.EntryVM && !slices.Contains(ids, m) {
			p.removed[m] = now
			delete(p.unrecognizedBy, m)
		}
	}
	for id, at := range p.removed {
		if slices.Contains(ids, id) {
			delete(p.removed, id)
		} else if !now.Before(at.Add(p.leaseBound())) {
			delete(p.removed, id)
			delete(p.acked, id)
		}
	}
}

// startJoin records that this entry VM has become a member that no other member has recognized yet.
func (p *Propagation) startJoin() {
	p.joined = true
	p.recognizedAt = time.Time{}
	p.unrecognizedBy = make(map[string]bool)
	for _, m := range p.members {
		if m != p.EntryVM {
			p.unrecognizedBy[m] = true
		}
	}
}

// updateRecognition sets recognizedAt when the last member has recognized this entry VM.
func (p *Propagation) updateRecognition(now time.Time) {
	if p.joined && len(p.unrecognizedBy) == 0 && p.recognizedAt.IsZero() {
		p.recognizedAt = now
	}
}

func (p *Propagation) recognized() bool { return p.joined && len(p.unrecognizedBy) == 0 }

// leaseBound returns the longest time for which another entry VM may act on a lower version, on the clock of this
// one.
func (p *Propagation) leaseBound() time.Duration { return p.LeaseDuration + p.GuardInterval }

func (p *Propagation) newest() uint64 {
	if len(p.applied) == 0 {
		return 0
	}
	return p.applied[len(p.applied)-1].version
}

// appliedAt returns when version was first known to be committed. A higher version implies the commit of a lower one.
func (p *Propagation) appliedAt(version uint64) time.Time {
	i := sort.Search(len(p.applied), func(i int) bool { return p.applied[i].version >= version })
	return p.applied[i].at
}
