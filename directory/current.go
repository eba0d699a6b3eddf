package directory

import (
	"sync"
	"time"
)

// Current is the newest configuration that an entry VM knows, when it was last known to be the newest, and when the store
// was last heard of. It is safe for concurrent use, and ready for use when it is new.
type Current struct {
	mu       sync.RWMutex
	snapshot *Snapshot
	asOf     time.Time
	heard    time.Time
}

// Confirm records that no newer configuration than the known one existed at the first time, as an answer of the store
// at the second time told.
func (c *Current) Confirm(asOf, heard time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf.After(c.asOf) {
		c.asOf = asOf
	}
	if heard.After(c.heard) {
		c.heard = heard
	}
}

// Replace takes a snapshot unless the known one is as new, and reports whether it did.
func (c *Current) Replace(s *Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && s.Version() <= c.snapshot.Version() {
		return false
	}
	c.snapshot = s
	return true
}

// Snapshot returns the newest known configuration, or nil before the first, and when it was last known to be the newest.
func (c *Current) Snapshot() (*Snapshot, time.Time) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot, c.asOf
}

// Heard returns when the store was last heard of.
func (c *Current) Heard() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.heard
}
