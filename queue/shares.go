package queue

import (
	"cmp"
	"math"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Shares computes the dominant share of each team: the largest of its shares of processors, memory, accelerators and
// slots, divided by its weight. The zero value is ready for use.
type Shares struct {
	// Memory is the time constant with which past use counts towards a team's rank, so that a team that was short
	// during a burst of others catches up. It is 3 s if it is 0; a negative value ranks by present use only.
	Memory time.Duration
	// RemoteWeight is the weight of the share that a team has of the other entry VMs' capacity, relative to its share
	// of this one's, when teams are ranked. It is 0.5 if it is 0; a negative value ignores remote use.
	RemoteWeight float64

	capacity  provider.Shape
	elsewhere provider.Shape
	teams     map[string]*usage
	updated   time.Time
}

type usage struct {
	weight float64
	local  provider.Shape
	remote provider.Shape
	past   float64 // decayed mean of the dominant share
}

// SetTeam sets the weight of a team. Teams have weight 1 unless it is set; weights of 0 or less count as 1.
func (s *Shares) SetTeam(name string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	s.team(name).weight = weight
}

// SetCapacity sets the capacity that this entry VM places work on. Without it all shares are 0, and Pick goes by arrival.
func (s *Shares) SetCapacity(c provider.Shape) { s.capacity = c }

// SetRemoteCapacity sets the capacity that other entry VMs place work on. Without it remote use is ignored.
func (s *Shares) SetRemoteCapacity(c provider.Shape) { s.elsewhere = c }

// Started adds a running task.
func (s *Shares) Started(team string, shape provider.Shape) {
	u := s.team(team)
	u.local = u.local.Plus(shape)
}

// Ended removes a running task.
func (s *Shares) Ended(team string, shape provider.Shape) {
	u := s.team(team)
	u.local = u.local.Minus(shape)
}

// Remote sets what other entry VMs run for a team.
func (s *Shares) Remote(team string, shape provider.Shape) { s.team(team).remote = shape }

// Dominant returns the dominant share of a team divided by its weight.
func (s *Shares) Dominant(team string) float64 {
	u, ok := s.teams[team]
	if !ok {
		return 0
	}
	return dominant(u.local.Plus(u.remote), s.capacity.Plus(s.elsewhere)) / u.weight
}

// Weight returns the weight of a team.
func (s *Shares) Weight(team string) float64 {
	u, ok := s.teams[team]
	if !ok {
		return 1
	}
	return u.weight
}

// Advance adds the time since the last call to the memory of past use.
func (s *Shares) Advance(now time.Time) {
	passed := now.Sub(s.updated)
	s.updated = now
	if s.Memory < 0 || passed <= 0 {
		return
	}
	keep := math.Exp(-passed.Seconds() / cmp.Or(s.Memory, defaultShareMemory).Seconds())
	for _, u := range s.teams {
		u.past = u.past*keep + s.present(u)*(1-keep)
	}
}

// rank returns the value that teams are ordered by, lowest first.
func (s *Shares) rank(team string) float64 {
	u, ok := s.teams[team]
	if !ok {
		return 0
	}
	return s.present(u) + u.past
}

func (s *Shares) present(u *usage) float64 {
	weight := max(cmp.Or(s.RemoteWeight, defaultRemoteWeight), 0)
	return (dominant(u.local, s.capacity) + weight*dominant(u.remote, s.elsewhere)) / u.weight
}

// dominant returns the largest share that used has of a part of the capacity.
func dominant(used, capacity provider.Shape) float64 {
	return max(
		ratio(used.Processors(), capacity.Processors()),
		ratio(used.MemoryMiB(), capacity.MemoryMiB()),
		ratio(used.Accelerators(), capacity.Accelerators()),
		ratio(used.Slots(), capacity.Slots()),
	)
}

func (s *Shares) team(name string) *usage {
	u, ok := s.teams[name]
	if ok {
		return u
	}
	if s.teams == nil {
		s.teams = make(map[string]*usage)
	}
	u = &usage{weight: 1}
	s.teams[name] = u
	return u
}

func ratio(used, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
