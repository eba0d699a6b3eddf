package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Observe records how a task of an entry ended on a server, and takes the server out of rotation or back into it. Only
// failures to run count; an answer that reports a wrong input is a success of the server.
func (c *Chooser) Observe(server, entry string, ok bool, now time.Time) {
	c.latest = now
	st, found := c.servers[server]
	if !found || !st.known {
		return
	}
	if st.out && ok {
		st.out, st.history = false, nil
		return
	}
	c.limitOut(st.server.pool)
	st.history = st.history.with(result{entry: entry, ok: ok})
	if ok || st.out || !c.mayTakeOut(st.server.pool) || !st.history.failing(c.peers(st)) {
		return
	}
	st.out, st.outAt, st.probed = true, now, now
}

// OutOfRotation returns the servers of a pool that are out of rotation because they fail, in order of their ids.
func (c *Chooser) OutOfRotation(pool string) []string {
	var out []string
	for _, st := range c.pools[pool] {
		if st.out {
			out = append(out, st.server.id)
		}
	}
	return out
}

// peers returns the failure rate of each entry on the other servers of the pool. It is the median over the servers: a
// mean would hide failing servers from each other when a rack of them fails together.
func (c *Chooser) peers(st *state) map[string]float64 {
	rates := make(map[string][]float64)
	for _, o := range c.pools[st.server.pool] {
		if o == st {
			continue
		}
		for e, n := range o.history.byEntry() {
			rates[e] = append(rates[e], float64(n.failed)/float64(n.total))
		}
	}
	medians := make(map[string]float64, len(rates))
	for e, r := range rates {
		slices.Sort(r)
		medians[e] = r[len(r)/2]
	}
	return medians
}

func (c *Chooser) mayTakeOut(pool string) bool {
	return c.outCount(pool) < len(c.pools[pool])/maxOutDivisor
}

func (c *Chooser) outCount(pool string) int {
	out := len(c.OutOfRotation(pool))
	if c.OutElsewhere != nil {
		out += c.OutElsewhere(pool)
	}
	return out
}

// limitOut puts servers back, longest out first, when more are out than a quarter of the pool: it has shrunk, or other
// entry VMs took servers out at the same time.
func (c *Chooser) limitOut(pool string) {
	for excess := c.outCount(pool) - len(c.pools[pool])/maxOutDivisor; excess > 0; excess-- {
		var first *state
		for _, st := range c.pools[pool] {
			if st.out && (first == nil || st.outAt.Before(first.outAt)) {
				first = st
			}
		}
		if first == nil {
			return
		}
		first.out, first.history = false, nil
	}
}

// probe returns a server out of rotation that is due for a probe and has room. Entries that fail elsewhere too are no
// use as a probe.
func (c *Chooser) probe(pool, entry string, shape provider.Shape, now time.Time) *state {
	for _, st := range c.pools[pool] {
		if !st.out || !c.usable(st) || now.Sub(st.probed) < probeInterval || !shape.Fits(st.free()) {
			continue
		}
		if c.peers(st)[entry] > maxFailureRate {
			continue
		}
		return st
	}
	return nil
}

func byID(a, b *state) int { return strings.Compare(a.server.id, b.server.id) }
