package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// RecordResult records the result of a task of a catalogue entry on a server, and takes the server out of rotation or
// puts it back. The argument ok is false only if the server failed to run the task; a response that reports invalid
// input is a success of the server.
func (p *Placer) RecordResult(server, entry string, ok bool, now time.Time) {
	p.lastCallTime = now
	st, found := p.servers[server]
	if !found || !st.registered {
		return
	}
	if st.outOfRotation && ok {
		st.outOfRotation, st.results = false, nil
		return
	}
	p.enforceOutLimit(st.server.pool)
	st.results = st.results.withResult(taskResult{entry: entry, ok: ok})
	if ok || st.outOfRotation || !p.belowOutLimit(st.server.pool) || !st.results.isOutlier(p.peerFailureRates(st)) {
		return
	}
	st.outOfRotation, st.outSince, st.lastProbe = true, now, now
}

// OutOfRotation returns the ids of the servers of a pool that are out of rotation because of their failure rate,
// sorted.
func (p *Placer) OutOfRotation(pool string) []string {
	var out []string
	for _, st := range p.pools[pool] {
		if st.outOfRotation {
			out = append(out, st.server.id)
		}
	}
	return out
}

// peerFailureRates returns the failure rate of each catalogue entry on the other servers of the pool. It is the median
// over the servers: when all servers of a rack fail together, they would raise a mean so far that none is an outlier.
func (p *Placer) peerFailureRates(st *serverState) map[string]float64 {
	rates := make(map[string][]float64)
	for _, o := range p.pools[st.server.pool] {
		if o == st {
			continue
		}
		for e, n := range o.results.countsByEntry() {
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

// belowOutLimit reports whether one more server of a pool may be taken out of rotation.
func (p *Placer) belowOutLimit(pool string) bool {
	return p.outCount(pool) < len(p.pools[pool])/outOfRotationDivisor
}

// outCount returns how many servers of a pool this and other entry VMs have taken out of rotation.
func (p *Placer) outCount(pool string) int {
	out := len(p.OutOfRotation(pool))
	if p.RemoteOutOfRotation != nil {
		out += p.RemoteOutOfRotation(pool)
	}
	return out
}

// enforceOutLimit puts servers back into rotation, longest out first, when more than a quarter of the pool is out. This
// happens when the pool shrinks, or when other entry VMs take servers out at the same time.
func (p *Placer) enforceOutLimit(pool string) {
	for excess := p.outCount(pool) - len(p.pools[pool])/outOfRotationDivisor; excess > 0; excess-- {
		var longestOut *serverState
		for _, st := range p.pools[pool] {
			if st.outOfRotation && (longestOut == nil || st.outSince.Before(longestOut.outSince)) {
				longestOut = st
			}
		}
		if longestOut == nil {
			return
		}
		longestOut.outOfRotation, longestOut.results = false, nil
	}
}

// probeCandidate returns a server out of rotation that is due for a probe and has enough free capacity, nil if there is
// none. A task is no valid probe if its catalogue entry fails on more than half of its runs on other servers too.
func (p *Placer) probeCandidate(pool, entry string, shape provider.Shape, now time.Time) *serverState {
	for _, st := range p.pools[pool] {
		if !st.outOfRotation || !p.schedulable(st) || now.Sub(st.lastProbe) < probeInterval || !shape.FitsIn(st.free()) {
			continue
		}
		if p.peerFailureRates(st)[entry] > maxFailureRate {
			continue
		}
		return st
	}
	return nil
}

func byID(a, b *serverState) int { return strings.Compare(a.server.id, b.server.id) }
