package catalogue

import (
	"slices"
	"strings"
)

// Catalogue is a validated set of entries, teams and pools. It is immutable.
type Catalogue struct {
	entries []Entry
	teams   []Team
	pools   []Pool
}

// New returns a catalogue, or a *document.Error that lists all invalid values. The slices are copied.
func New(entries []Entry, teams []Team, pools []Pool) (*Catalogue, error) {
	c := newCatalogue(slices.Clone(entries), slices.Clone(teams), slices.Clone(pools))
	return Decode(c.Encode())
}

func newCatalogue(entries []Entry, teams []Team, pools []Pool) *Catalogue {
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.name, b.name) })
	slices.SortFunc(teams, func(a, b Team) int { return strings.Compare(a.name, b.name) })
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(a.name, b.name) })
	return &Catalogue{entries: entries, teams: teams, pools: pools}
}

// Entries returns the entries sorted by name. Callers must not modify the slice.
func (c *Catalogue) Entries() []Entry { return c.entries }

// Teams returns the teams sorted by name. Callers must not modify the slice.
func (c *Catalogue) Teams() []Team { return c.teams }

// Pools returns the pools sorted by name. Callers must not modify the slice.
func (c *Catalogue) Pools() []Pool { return c.pools }

// Entry returns the entry with this name, and whether it exists.
func (c *Catalogue) Entry(name string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(c.entries, name, func(e Entry, n string) int { return strings.Compare(e.name, n) })
	if !ok {
		return Entry{}, false
	}
	return c.entries[i], true
}

// Team returns the team with this name, and whether it exists.
func (c *Catalogue) Team(name string) (Team, bool) {
	i, ok := slices.BinarySearchFunc(c.teams, name, func(t Team, n string) int { return strings.Compare(t.name, n) })
	if !ok {
		return Team{}, false
	}
	return c.teams[i], true
}

// Pool returns the pool with this name, and whether it exists.
func (c *Catalogue) Pool(name string) (Pool, bool) {
	i, ok := slices.BinarySearchFunc(c.pools, name, func(p Pool, n string) int { return strings.Compare(p.name, n) })
	if !ok {
		return Pool{}, false
	}
	return c.pools[i], true
}

// SparePool returns the spare pool. It is missing only from the empty catalogue of a new configuration.
func (c *Catalogue) SparePool() (Pool, bool) {
	for _, p := range c.pools {
		if p.spare {
			return p, true
		}
	}
	return Pool{}, false
}
