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
func (p *Placer) recordNoCapacity(pool string, shape provider.Shape, now time.Time) {
	p.expireStarved(pool, now)
	k := starvedShapeKey{pool: pool, shape: shape}
	s, ok := p.starved[k]
	if !ok {
		if p.starved == nil {
			p.starved = make(map[starvedShapeKey]*starvedShape)
		}
		s = &starvedShape{firstFailure: now}
		p.starved[k] = s
	}
	s.lastFailure = now
	if s.held == nil && now.Sub(s.firstFailure) >= holdDelay && p.mayHold(pool) {
		s.held = p.serverToHold(pool, shape)
	}
}

// clearStarved records that a shape was placed, and releases the server held for it.
func (p *Placer) clearStarved(pool string, shape provider.Shape) {
	delete(p.starved, starvedShapeKey{pool: pool, shape: shape})
}

// heldForOtherShape reports whether a server is held for a shape other than the given one.
func (p *Placer) heldForOtherShape(st *serverState, shape provider.Shape) bool {
	for k, s := range p.starved {
		if s.held == st && k.shape != shape {
			return true
		}
	}
	return false
}

// expireStarved deletes starved shapes that are no longer requested, and releases held servers that were removed, moved
// to another pool, or are no longer in rotation.
func (p *Placer) expireStarved(pool string, now time.Time) {
	for k, s := range p.starved {
		if k.pool != pool {
			continue
		}
		if now.Sub(s.lastFailure) >= holdDelay {
			delete(p.starved, k)
			continue
		}
		if s.held != nil &&
			(s.held.server.pool != pool || !p.inRotation(s.held) || p.servers[s.held.server.id] != s.held) {
			s.held = nil
		}
	}
}

// mayHold reports whether the limit of held servers of a pool allows one more.
func (p *Placer) mayHold(pool string) bool {
	held := 0
	for k, s := range p.starved {
		if k.pool == pool && s.held != nil {
			held++
		}
	}
	return held < max(len(p.pools[pool])/heldServersDivisor, 1)
}

// serverToHold returns the server with the most free slots among those that the shape would fit if they were idle, nil
// if there is none.
func (p *Placer) serverToHold(pool string, shape provider.Shape) *serverState {
	var best *serverState
	for _, st := range p.pools[pool] {
		if !p.inRotation(st) || !shape.FitsIn(st.server.shape) || p.heldForOtherShape(st, shape) {
			continue
		}
		if best == nil || st.free().Slots() > best.free().Slots() {
			best = st
		}
	}
	return best
}
