package standin

import (
	"slices"
	"sync"
)

// Counters counts the tasks that backend servers started, for tests and status output. Restarts of the servers don't
// reset it. It keeps the attempts of the last MaxAttemptRecords request ids.
type Counters struct {
	mu       sync.Mutex
	attempts map[string][]int // numbers of the started attempts, by request id
	ids      []string         // request ids in order of their first starts
	running  map[string]int   // running tasks, by team
	largest  map[string]int   // largest number of running tasks, by team
}

// Starts returns how often tasks of a request id were started.
func (c *Counters) Starts(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts[id])
}

// Attempts returns the attempts of a request id that were started, in order of their starts.
func (c *Counters) Attempts(id string) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.attempts[id])
}

// AttemptsByRequest returns the attempts that were started, by request id, each in order of their starts.
func (c *Counters) AttemptsByRequest() map[string][]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string][]int, len(c.attempts))
	for id, attempts := range c.attempts {
		all[id] = slices.Clone(attempts)
	}
	return all
}

// Running returns the number of running tasks of a team.
func (c *Counters) Running(team string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[team]
}

// MaxRunning returns the largest number of tasks of a team that ever ran at once.
func (c *Counters) MaxRunning(team string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.largest[team]
}

// Teams returns the teams that have started a task, sorted.
func (c *Counters) Teams() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	teams := make([]string, 0, len(c.largest))
	for t := range c.largest {
		teams = append(teams, t)
	}
	slices.Sort(teams)
	return teams
}

func (c *Counters) start(id string, attempt int, team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = make(map[string][]int)
		c.running = make(map[string]int)
		c.largest = make(map[string]int)
	}

	if len(c.attempts[id]) == 0 {
		c.ids = append(c.ids, id)
	}
	c.attempts[id] = append(c.attempts[id], attempt)
	if len(c.ids) > MaxAttemptRecords {
		delete(c.attempts, c.ids[0])
		c.ids = c.ids[1:]
	}
	c.running[team]++
	c.largest[team] = max(c.largest[team], c.running[team])
}

func (c *Counters) end(team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[team]--
}
