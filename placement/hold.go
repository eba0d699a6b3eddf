package placement

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// starvedShape records that tasks of one shape fail to be placed in one pool. In a full fleet, smaller tasks take every
// slot that becomes free and starve a large shape. A server is therefore held for the shape until a task of it fits.
type starvedShape struct {
	firstFailure time.Time // since the shape was last placed
	lastFailure  time.Time
	held         *serverState
}

type starvedShapeKey struct {
	pool  string
	shape provider.Shape
}

// recordNoCapacity records that no server has capacity for a shape, and holds a server for it once this has been so for
// holdDelay.
func (c *Placer) recordNoCapacity(pool string, shape provider.Shape, now time.Time) {
	c.expireStarved(pool, now)
	k := starvedShapeKey{pool: pool, shape: shape}
	s, ok := c.starved[k]
	if !ok {
		if c.starved == nil {
			c.starved = make(map[starvedShapeKey]*starvedShape)
		}
		s = &starvedShape{firstFailure: now}
		c.starved[k] = s
	}
	s.lastFailure = now
	if s.held == nil && now.Sub(s.firstFailure) >= holdDelay && c.mayHold(pool) {
		s.held = c.serverToHold(pool, shape)
	}
}

// clearStarved records that a shape was placed, and releases the server held for it.
func (c *Placer) clearStarved(pool string, shape provider.Shape) {
	delete(c.starved, starvedShapeKey{pool: pool, shape: shape})
}

// heldForOtherShape reports whether a server is held for a shape other than the given one.
func (c *Placer) heldForOtherShape(st *serverState, shape provider.Shape) bool {
	for k, s := range c.starved {
		if s.held == st && k.shape != shape {
			return true
		}
	}
	return false
}

// expireStarved deletes starved shapes that are no longer requested, and releases held servers that were removed, moved
// to another pool, or are no longer in rotation.
func (c *Placer) expireStarved(pool string, now time.Time) {
	for k, s := range c.starved {
		if k.pool != pool {
			continue
		}
		if now.Sub(s.lastFailure) >= holdDelay {
			delete(c.starved, k)
			continue
		}
		if s.held != nil &&
			(s.held.server.pool != pool || !c.inRotation(s.held) || c.servers[s.held.server.id] != s.held) {
			s.held = nil
		}
	}
}

// mayHold reports whether the limit of held servers of a pool allows one more.
func (c *Placer) mayHold(pool string) bool {
	held := 0
	for k, s := range c.starved {
		if k.pool == pool && s.held != nil {
			held++
		}
	}
	return held < max(len(c.pools[pool])/heldServersDivisor, 1)
}

// serverToHold returns the server with the most free slots among those that the shape would fit if they were idle, nil
// if there is none.
func (c *Placer) serverToHold(pool string, shape provider.Shape) *serverState {
	var best *serverState
	for _, st := range c.pools[pool] {
		if !c.inRotation(st) || !shape.Fits(st.server.shape) || c.heldForOtherShape(st, shape) {
			continue
		}
		if best == nil || st.free().Slots() > best.free().Slots() {
			best = st
		}
	}
	return best
}
