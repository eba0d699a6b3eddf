package directory

import (
	"sync"
	"time"
)

// Cache caches the newest configuration that an entry VM has read, with the time at which it was the newest in the
// store and the time of the last response of the store. The zero value is an empty cache. It is safe for concurrent
// use.
type Cache struct {
	mu          sync.RWMutex
	snapshot    *Snapshot
	asOf        time.Time
	lastContact time.Time
}

// RecordRead records a successful read of the store whose changes have been applied. AsOf is when the read was
// requested, and the cached configuration was the newest one then. RespondedAt is when the response arrived. Earlier
// times than the recorded ones are ignored.
func (c *Cache) RecordRead(asOf, respondedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf.After(c.asOf) {
		c.asOf = asOf
	}
	if respondedAt.After(c.lastContact) {
		c.lastContact = respondedAt
	}
}

// Update caches a snapshot if its version is higher than the cached one's, and reports whether it did.
func (c *Cache) Update(s *Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && s.Version() <= c.snapshot.Version() {
		return false
	}
	c.snapshot = s
	return true
}

// Snapshot returns the cached configuration, or nil if there is none yet, and the last time at which it was the newest
// one.
func (c *Cache) Snapshot() (*Snapshot, time.Time) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot, c.asOf
}

// LastContact returns when the last response of the store arrived.
func (c *Cache) LastContact() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.lastContact
}
