package peer

import (
	"sort"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Digest is the summary of its state that an entry VM sends to its peers once a second: its configuration version, its
// flags, and its load by pool, team and class. A pool, team or class that is missing has the value zero.
type Digest struct {
	member         string
	incarnation    uint64
	version        uint64
	tableReachable bool
	freeSlots      map[string]int
	running        map[string]provider.Shape
	slotDemand     map[string]int
	longestWait    map[string]time.Duration
	uncovered      int
	recognized     bool
	draining       bool
	omitsLoad      bool
}

// NewDigest returns a digest whose load is zero. Member is the id of the entry VM, incarnation is a number that differs
// between its processes, and version is the version of the configuration that the member holds. TableReachable says
// whether its last access to the platform's table succeeded.
func NewDigest(member string, incarnation, version uint64, tableReachable bool) Digest {
	return Digest{member: member, incarnation: incarnation, version: version, tableReachable: tableReachable}
}

// WithFreeSlots returns a copy of the digest with the number of free slots by pool.
func (d Digest) WithFreeSlots(free map[string]int) Digest {
	d.freeSlots = copyCounts(free)
	return d
}

// WithRunning returns a copy of the digest with the total resources of the running tasks by team.
func (d Digest) WithRunning(running map[string]provider.Shape) Digest {
	d.running = make(map[string]provider.Shape, len(running))
	for t, s := range running {
		if s != (provider.Shape{}) {
			d.running[t] = s
		}
	}
	return d
}

// WithSlotDemand returns a copy of the digest with the number of slots that the backlog could use, by team.
func (d Digest) WithSlotDemand(slotDemand map[string]int) Digest {
	d.slotDemand = copyCounts(slotDemand)
	return d
}

// WithLongestWait returns a copy of the digest with the time that the oldest request has waited, by class. The time is
// truncated to milliseconds.
func (d Digest) WithLongestWait(oldest map[string]time.Duration) Digest {
	d.longestWait = make(map[string]time.Duration, len(oldest))
	for c, w := range oldest {
		if w = w.Truncate(time.Millisecond); w != 0 {
			d.longestWait[c] = w
		}
	}
	return d
}

// WithUncovered returns a copy of the digest with the number of tasks that the member adopted from another entry VM and
// runs beyond its slices.
func (d Digest) WithUncovered(n int) Digest {
	d.uncovered = n
	return d
}

// WithRecognized returns a copy of the digest, for the reply to a heartbeat. Recognized says whether the sender of the
// heartbeat was a member when the replying member last read the platform's table.
func (d Digest) WithRecognized(recognized bool) Digest {
	d.recognized = recognized
	return d
}

// WithDraining returns a copy of the digest. Draining says whether the member is draining, that is, about to stop.
func (d Digest) WithDraining(draining bool) Digest {
	d.draining = draining
	return d
}

// Draining reports whether the member is draining, that is, about to stop.
func (d Digest) Draining() bool { return d.draining }

// WithoutLoad returns a copy of the digest without the load by pool, team and class. Its load is unknown, not zero.
func (d Digest) WithoutLoad() Digest {
	d.freeSlots, d.running, d.slotDemand, d.longestWait, d.omitsLoad = nil, nil, nil, nil, true
	return d
}

// HasLoad reports whether the digest includes the load by pool, team and class.
func (d Digest) HasLoad() bool { return !d.omitsLoad }

// Uncovered returns the number of tasks that the member adopted from another entry VM and runs beyond its slices.
func (d Digest) Uncovered() int { return d.uncovered }

// Recognized reports whether the receiver of this reply was a member when the replying member last read the platform's
// table.
func (d Digest) Recognized() bool { return d.recognized }

// Member returns the id of the entry VM that the digest describes.
func (d Digest) Member() string { return d.member }

// Incarnation returns a number that differs between the processes of the same entry VM.
func (d Digest) Incarnation() uint64 { return d.incarnation }

// ConfigurationVersion returns the version of the configuration that the member holds.
func (d Digest) ConfigurationVersion() uint64 { return d.version }

// TableReachable reports whether the member's last access to the platform's table succeeded.
func (d Digest) TableReachable() bool { return d.tableReachable }

// FreeSlots returns the number of free slots that the member has in a pool.
func (d Digest) FreeSlots(pool string) int { return d.freeSlots[pool] }

// Running returns the total resources of the tasks that the member runs for a team.
func (d Digest) Running(team string) provider.Shape { return d.running[team] }

// SlotDemand returns the number of slots that the member's backlog for a team could use.
func (d Digest) SlotDemand(team string) int { return d.slotDemand[team] }

// LongestWait returns how long the oldest request of a class has waited.
func (d Digest) LongestWait(class string) time.Duration { return d.longestWait[class] }

// Pools returns the names of the pools with free slots, sorted.
func (d Digest) Pools() []string {
	names := make([]string, 0, len(d.freeSlots))
	for p := range d.freeSlots {
		names = append(names, p)
	}
	sort.Strings(names)
	return names
}

// Teams returns the names of the teams with running tasks or a backlog, sorted.
func (d Digest) Teams() []string {
	names := make([]string, 0, len(d.running)+len(d.slotDemand))
	for t := range d.running {
		names = append(names, t)
	}
	for t := range d.slotDemand {
		if _, ok := d.running[t]; !ok {
			names = append(names, t)
		}
	}
	sort.Strings(names)
	return names
}

// Classes returns the names of the classes with waiting requests, sorted.
func (d Digest) Classes() []string {
	names := make([]string, 0, len(d.longestWait))
	for c := range d.longestWait {
		names = append(names, c)
	}
	sort.Strings(names)
	return names
}

// copyCounts returns a copy of the counts without those that are zero.
func copyCounts(from map[string]int) map[string]int {
	to := make(map[string]int, len(from))
	for k, v := range from {
		if v != 0 {
			to[k] = v
		}
	}
	return to
}
