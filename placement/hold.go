package placement

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// shortage records that work of one shape finds no room in one pool. At a full fleet smaller work takes every slot that
// becomes free, so that a large shape would never start; a server is therefore held for it until it fits.
type shortage struct {
	since  time.Time // first refusal since the shape was last placed
	latest time.Time // last refusal
	held   *state
}

type shortageKey struct {
	pool  string
	shape provider.Shape
}

// refused notes that a shape found no room and holds a server for it when that has lasted.
func (c *Chooser) refused(pool string, shape provider.Shape, now time.Time) {
	c.expireShortages(pool, now)
	k := shortageKey{pool: pool, shape: shape}
	s, ok := c.shortages[k]
	if !ok {
		if c.shortages == nil {
			c.shortages = make(map[shortageKey]*shortage)
		}
		s = &shortage{since: now}
		c.shortages[k] = s
	}
	s.latest = now
	if s.held == nil && now.Sub(s.since) >= holdDelay && c.mayHold(pool) {
		s.held = c.nearest(pool, shape)
	}
}

// placed ends the shortage of a shape.
func (c *Chooser) placed(pool string, shape provider.Shape) {
	delete(c.shortages, shortageKey{pool: pool, shape: shape})
}

// heldForOther reports whether a server is held for another shape.
func (c *Chooser) heldForOther(st *state, shape provider.Shape) bool {
	for k, s := range c.shortages {
		if s.held == st && k.shape != shape {
			return true
		}
	}
	return false
}

// expireShortages forgets shapes that are no longer asked for and lets go of servers that can't be used any more.
func (c *Chooser) expireShortages(pool string, now time.Time) {
	for k, s := range c.shortages {
		if k.pool != pool {
			continue
		}
		if now.Sub(s.latest) >= holdDelay {
			delete(c.shortages, k)
			continue
		}
		if s.held != nil && (s.held.server.pool != pool || !c.inRotation(s.held) || c.servers[s.held.server.id] != s.held) {
			s.held = nil
		}
	}
}

func (c *Chooser) mayHold(pool string) bool {
	held := 0
	for k, s := range c.shortages {
		if k.pool == pool && s.held != nil {
			held++
		}
	}
	return held < max(len(c.pools[pool])/holdDivisor, 1)
}

// nearest returns the server with the most free slots among those that the shape fits when they are idle.
func (c *Chooser) nearest(pool string, shape provider.Shape) *state {
	var best *state
	for _, st := range c.pools[pool] {
		if !c.inRotation(st) || !shape.Fits(st.server.shape) || c.heldForOther(st, shape) {
			continue
		}
		if best == nil || st.free().Slots() > best.free().Slots() {
			best = st
		}
	}
	return best
}
