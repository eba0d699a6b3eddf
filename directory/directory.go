// Package directory holds the configuration that operators publish: queues, customers with their API keys, and pools.
// It takes decoded rows of the operators' table, and looks up the queue of a request, the customer of a key, and pools
// by name. A Snapshot is one version of the configuration and is immutable.
package directory

import (
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Queue takes the jobs that customers submit to one host and path prefix, and names the pool that runs them.
type Queue struct {
	Name   string
	Host   string
	Prefix string // of the request path
	Pool   string
	// Priority orders the queues of a pool. 0 goes first.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// Stretch and Slack define the objective of a job, which is the time within which it should end after its submission:
	// Stretch times the duration of its critical path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Timeout bounds the time to handle a request. No package enforces it.
	Timeout time.Duration
	// AllowsAnonymous marks a queue that needs no API key.
	AllowsAnonymous bool
	// Recommendation describes the service that recommends backend servers for the queue's tasks. It is nil if the tasks
	// may run on every server of the pool.
	Recommendation *backend.Recommendation
}

// Customer is a customer that may submit jobs.
type Customer struct {
	Name    string
	APIKeys []string
	// Weight is the customer's share of a full fleet, and the rate of jobs a second that it is entitled to.
	Weight float64
	// Limit bounds the resources of the customer's running tasks. A resource of 0 has no limit.
	Limit workload.Resources
}

// Pool is a set of VMs that run tasks of the same queues.
type Pool struct {
	Name string
	// EnforcesCapacity marks a pool whose backend servers refuse runs that exceed their capacity.
	EnforcesCapacity bool
	// Spare marks a pool whose VMs are switched off.
	Spare bool
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	version      int64
	queues       map[string]Queue
	byHost       map[string][]Queue
	customers    map[string]Customer
	byKey        map[string]string // customer names
	pools        map[string]Pool
	maxBodyBytes int
}

// NewSnapshot returns a snapshot. MaxBodyBytes is the largest allowed size of a request body in bytes, or 0 for no
// limit.
func NewSnapshot(version int64, queues []Queue, customers []Customer, pools []Pool, maxBodyBytes int) *Snapshot {
	s := &Snapshot{
		version: version, maxBodyBytes: maxBodyBytes,
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
		for _, key := range c.APIKeys {
			s.byKey[key] = c.Name
		}
	}
	for _, p := range pools {
		s.pools[p.Name] = p
	}
	return s
}

// Version returns the version of the configuration. It increases with each change.
func (s *Snapshot) Version() int64 { return s.version }

// MaxBodyBytes returns the largest allowed size of a request body in bytes, or 0 for no limit.
func (s *Snapshot) MaxBodyBytes() int { return s.maxBodyBytes }

// MatchQueue returns the queue of the host whose prefix is the longest one that the path starts with, and whether there
// is one.
func (s *Snapshot) MatchQueue(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range s.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue returns a queue by its name, and whether it exists.
func (s *Snapshot) Queue(name string) (Queue, bool) {
	q, ok := s.queues[name]
	return q, ok
}

// QueueCount returns the number of queues.
func (s *Snapshot) QueueCount() int { return len(s.queues) }

// CustomerByKey returns the name of the customer with an API key, and whether there is one.
func (s *Snapshot) CustomerByKey(key string) (string, bool) {
	name, ok := s.byKey[key]
	return name, ok
}

// Customer returns a customer by its name, and whether it exists.
func (s *Snapshot) Customer(name string) (Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Pool returns a pool by its name, and whether it exists.
func (s *Snapshot) Pool(name string) (Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Pools returns all pools by name. The caller must not modify the map.
func (s *Snapshot) Pools() map[string]Pool { return s.pools }
