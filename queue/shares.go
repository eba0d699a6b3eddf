package queue

import (
	"cmp"
	"math"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Shares implements weighted dominant resource fairness. The dominant share of a team is the largest of its shares of
// processors, memory, accelerators and slots. Teams are ranked by their current and past dominant shares divided by
// their weights, lowest first. The zero value is ready for use.
type Shares struct {
	// DecayTime is the time constant of the exponential decay with which past use counts towards a team's rank, so that
	// a team that got less than its share during a burst of other teams catches up. It is 3 s if it is 0; a negative
	// value ranks by current use only.
	DecayTime time.Duration
	// RemoteWeight is the weight of a team's share of the capacity of other entry VMs, relative to its share of this
	// entry VM's capacity, when teams are ranked. It is 0.5 if it is 0; a negative value ignores remote use.
	RemoteWeight float64

	capacity       provider.Shape
	remoteCapacity provider.Shape
	teams          map[string]*teamUsage
	updated        time.Time
}

// teamUsage is the weight of one team and what runs for it.
type teamUsage struct {
	weight    float64
	local     provider.Shape // sum of the running tasks of this entry VM
	remote    provider.Shape // sum of the running tasks of other entry VMs
	pastShare float64        // exponentially decayed mean of the current share
}

// SetTeam sets the weight of a team. Teams have weight 1 unless it is set; weights of 0 or less count as 1.
func (s *Shares) SetTeam(name string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	s.team(name).weight = weight
}

// SetCapacity sets the capacity of the servers that this entry VM places work on. Without it all shares are 0, and Pick
// orders requests of a class by arrival.
func (s *Shares) SetCapacity(c provider.Shape) { s.capacity = c }

// SetRemoteCapacity sets the capacity of the servers that other entry VMs place work on. Without it remote use is
// ignored when teams are ranked.
func (s *Shares) SetRemoteCapacity(c provider.Shape) { s.remoteCapacity = c }

// TaskStarted adds a running task of this entry VM.
func (s *Shares) TaskStarted(team string, shape provider.Shape) {
	u := s.team(team)
	u.local = u.local.Plus(shape)
}

// TaskEnded removes a running task of this entry VM.
func (s *Shares) TaskEnded(team string, shape provider.Shape) {
	u := s.team(team)
	u.local = u.local.Minus(shape)
}

// SetRemoteUse sets the sum of the running tasks of a team on other entry VMs.
func (s *Shares) SetRemoteUse(team string, shape provider.Shape) { s.team(team).remote = shape }

// DominantShare returns the dominant share of a team in the capacity of all entry VMs, divided by its weight.
func (s *Shares) DominantShare(team string) float64 {
	u, ok := s.teams[team]
	if !ok {
		return 0
	}
	return dominantShare(u.local.Plus(u.remote), s.capacity.Plus(s.remoteCapacity)) / u.weight
}

// Weight returns the weight of a team, 1 if it isn't set.
func (s *Shares) Weight(team string) float64 {
	u, ok := s.teams[team]
	if !ok {
		return 1
	}
	return u.weight
}

// Advance updates the past use of all teams with their current use during the time since the last call.
func (s *Shares) Advance(now time.Time) {
	elapsed := now.Sub(s.updated)
	s.updated = now
	if s.DecayTime < 0 || elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / cmp.Or(s.DecayTime, defaultShareDecayTime).Seconds())
	for _, u := range s.teams {
		u.pastShare = u.pastShare*factor + s.currentShare(u)*(1-factor)
	}
}

// rank returns the value that teams are ordered by, lowest first.
func (s *Shares) rank(team string) float64 {
	u, ok := s.teams[team]
	if !ok {
		return 0
	}
	return s.currentShare(u) + u.pastShare
}

// currentShare returns the weighted dominant share of a team, with local and remote use relative to their own
// capacities.
func (s *Shares) currentShare(u *teamUsage) float64 {
	weight := max(cmp.Or(s.RemoteWeight, defaultRemoteWeight), 0)
	return (dominantShare(u.local, s.capacity) + weight*dominantShare(u.remote, s.remoteCapacity)) / u.weight
}

// dominantShare returns the largest of the shares of the resources of a capacity that are used.
func dominantShare(used, capacity provider.Shape) float64 {
	return max(
		ratio(used.Processors(), capacity.Processors()),
		ratio(used.MemoryMiB(), capacity.MemoryMiB()),
		ratio(used.Accelerators(), capacity.Accelerators()),
		ratio(used.Slots(), capacity.Slots()),
	)
}

func (s *Shares) team(name string) *teamUsage {
	u, ok := s.teams[name]
	if ok {
		return u
	}
	if s.teams == nil {
		s.teams = make(map[string]*teamUsage)
	}
	u = &teamUsage{weight: 1}
	s.teams[name] = u
	return u
}

func ratio(used, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
