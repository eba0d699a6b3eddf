// Package directory is the configuration that operators publish: queues, customers with their keys, and pools. A
// Snapshot is one version of it and doesn't change.
package directory

import (
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Queue is where customers submit jobs.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Pool     string
	Priority int
	// Attempts bounds the failed runs of a task.
	Attempts int
	// Stretch and Slack give the objective of a job: Stretch times its longest chain of work, and Slack more.
	Stretch float64
	Slack   time.Duration
	// Timeout bounds a request.
	Timeout time.Duration
	// Open queues need no key.
	Open bool
	// Recommendation tells how to ask for the backend servers on which the queue's work may run. It is nil if it may run
	// on all.
	Recommendation *backend.Recommendation
}

// Customer submits work.
type Customer struct {
	Name string
	Keys []string
	// Weight is the customer's share when all is full, and the jobs a second that it is owed.
	Weight float64
	// Limit bounds what the customer may have running. 0 means no limit.
	Limit workload.Resources
}

// Pool is a set of VMs that run the same queues.
type Pool struct {
	Name string
	// GuardsCapacity tells that the pool's backend servers refuse what doesn't fit.
	GuardsCapacity bool
	// Spare tells that the pool's VMs are switched off.
	Spare bool
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	version   int64
	queues    map[string]Queue
	byHost    map[string][]Queue
	customers map[string]Customer
	byKey     map[string]string
	pools     map[string]Pool
	bodyBytes int
}

// NewSnapshot returns a snapshot. BodyBytes bounds a request's body; 0 means no bound.
func NewSnapshot(version int64, queues []Queue, customers []Customer, pools []Pool, bodyBytes int) *Snapshot {
	s := &Snapshot{
		version: version, bodyBytes: bodyBytes,
		queues: make(map[string]Queue, len(queues)), byHost: make(map[string][]Queue),
		customers: make(map[string]Customer, len(customers)), byKey: make(map[string]string),
		pools: make(map[string]Pool, len(pools)),
	}
	for _, q := range queues {
		s.queues[q.Name] = q
		s.byHost[q.Host] = append(s.byHost[q.Host], q)
	}
	for _, c := range customers {
		s.customers[c.Name] = c
		for _, key := range c.Keys {
			s.byKey[key] = c.Name
		}
	}
	for _, p := range pools {
		s.pools[p.Name] = p
	}
	return s
}

// Version returns the version, which rises with each change.
func (s *Snapshot) Version() int64 { return s.version }

// BodyBytes returns the bound of a request's body, or 0.
func (s *Snapshot) BodyBytes() int { return s.bodyBytes }

// Match returns the queue with the longest prefix of the path.
func (s *Snapshot) Match(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range s.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue returns a queue by its name.
func (s *Snapshot) Queue(name string) (Queue, bool) {
	q, ok := s.queues[name]
	return q, ok
}

// Queues returns the number of queues.
func (s *Snapshot) Queues() int { return len(s.queues) }

// KeyHolder returns the customer that holds a key.
func (s *Snapshot) KeyHolder(key string) (string, bool) {
	name, ok := s.byKey[key]
	return name, ok
}

// Customer returns a customer by its name.
func (s *Snapshot) Customer(name string) (Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Pool returns a pool by its name.
func (s *Snapshot) Pool(name string) (Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Pools returns all pools.
func (s *Snapshot) Pools() map[string]Pool { return s.pools }
