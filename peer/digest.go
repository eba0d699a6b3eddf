package peer

import (
	"sort"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Digest is what an entry VM tells its peers once a second. Names without a value and names with the value zero are
// the same.
type Digest struct {
	member         string
	incarnation    uint64
	version        uint64
	tableReachable bool
	free           map[string]int
	running        map[string]provider.Shape
	wanted         map[string]int
	oldest         map[string]time.Duration
	uncovered      int
	recognized     bool
	leaving        bool
	bare           bool
}

// NewDigest returns a digest without values by pool, team and class. Member is the id of the entry VM, incarnation
// distinguishes its processes, version is the configuration version in force there.
func NewDigest(member string, incarnation, version uint64, tableReachable bool) Digest {
	return Digest{member: member, incarnation: incarnation, version: version, tableReachable: tableReachable}
}

// WithFreeSlots returns the digest with the free slots of each pool.
func (d Digest) WithFreeSlots(free map[string]int) Digest {
	d.free = copyCounts(free)
	return d
}

// WithRunning returns the digest with the summed shape of the running tasks of each team.
func (d Digest) WithRunning(running map[string]provider.Shape) Digest {
	d.running = make(map[string]provider.Shape, len(running))
	for t, s := range running {
		if s != (provider.Shape{}) {
			d.running[t] = s
		}
	}
	return d
}

// WithWanted returns the digest with the number of slots that the backlog of each team could use.
func (d Digest) WithWanted(wanted map[string]int) Digest {
	d.wanted = copyCounts(wanted)
	return d
}

// WithOldestWait returns the digest with the time that the oldest request of each class has waited, which is sent in
// whole milliseconds.
func (d Digest) WithOldestWait(oldest map[string]time.Duration) Digest {
	d.oldest = make(map[string]time.Duration, len(oldest))
	for c, w := range oldest {
		if w = w.Truncate(time.Millisecond); w != 0 {
			d.oldest[c] = w
		}
	}
	return d
}

// WithUncovered returns the digest with the number of tasks that the member runs beyond its slices because it adopted
// them from another entry VM.
func (d Digest) WithUncovered(n int) Digest {
	d.uncovered = n
	return d
}

// WithRecognized returns the digest, as a reply to a heartbeat, with whether the sender of the heartbeat is a member by
// the last table read of the replying member.
func (d Digest) WithRecognized(recognized bool) Digest {
	d.recognized = recognized
	return d
}

// WithLeaving returns the digest with whether the member is about to stop.
func (d Digest) WithLeaving(leaving bool) Digest {
	d.leaving = leaving
	return d
}

// Leaving reports whether the member is about to stop.
func (d Digest) Leaving() bool { return d.leaving }

// WithoutTables returns the digest without its values by pool, team and class, which then say nothing.
func (d Digest) WithoutTables() Digest {
	d.free, d.running, d.wanted, d.oldest, d.bare = nil, nil, nil, nil, true
	return d
}

// HasTables reports whether the digest says anything about pools, teams and classes.
func (d Digest) HasTables() bool { return !d.bare }

// Uncovered returns the number of tasks that the member runs beyond its slices because it adopted them.
func (d Digest) Uncovered() int { return d.uncovered }

// Recognized reports whether the member that replied knows the receiver as a member.
func (d Digest) Recognized() bool { return d.recognized }

// Member returns the id of the entry VM that the digest describes.
func (d Digest) Member() string { return d.member }

// Incarnation returns the number that distinguishes processes of the same entry VM.
func (d Digest) Incarnation() uint64 { return d.incarnation }

// ConfigurationVersion returns the version of the configuration that the member holds.
func (d Digest) ConfigurationVersion() uint64 { return d.version }

// TableReachable reports whether the member's last access to the table succeeded.
func (d Digest) TableReachable() bool { return d.tableReachable }

// FreeSlots returns the free slots that the member has in a pool.
func (d Digest) FreeSlots(pool string) int { return d.free[pool] }

// Running returns the summed shape of the tasks that the member runs for a team.
func (d Digest) Running(team string) provider.Shape { return d.running[team] }

// Wanted returns the number of slots that the member's backlog of a team could use.
func (d Digest) Wanted(team string) int { return d.wanted[team] }

// OldestWait returns how long the oldest request of a class has waited.
func (d Digest) OldestWait(class string) time.Duration { return d.oldest[class] }

// Pools returns the pools with free slots in order.
func (d Digest) Pools() []string {
	names := make([]string, 0, len(d.free))
	for p := range d.free {
		names = append(names, p)
	}
	sort.Strings(names)
	return names
}

// Teams returns the teams with running tasks or wanted slots in order.
func (d Digest) Teams() []string {
	names := make([]string, 0, len(d.running)+len(d.wanted))
	for t := range d.running {
		names = append(names, t)
	}
	for t := range d.wanted {
		if _, ok := d.running[t]; !ok {
			names = append(names, t)
		}
	}
	sort.Strings(names)
	return names
}

// Classes returns the classes with waiting requests in order.
func (d Digest) Classes() []string {
	names := make([]string, 0, len(d.oldest))
	for c := range d.oldest {
		names = append(names, c)
	}
	sort.Strings(names)
	return names
}

func copyCounts(from map[string]int) map[string]int {
	to := make(map[string]int, len(from))
	for k, v := range from {
		if v != 0 {
			to[k] = v
		}
	}
	return to
}
