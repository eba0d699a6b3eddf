package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/schedule"
)

const (
	// crashWaveTime is the time within which servers that crash at once are known to have crashed.
	crashWaveTime = 2 * time.Second
	// unrestWindow is the time within which unrestShare of the servers of a pool, or of all, crash while servers crash whatever
	// runs on them. calmTime is how long that holds after the last crash, and maxCalmWait bounds the time that a task waits for calm.
	unrestWindow = 5 * time.Second
	unrestShare  = 0.1
	calmTime     = 5 * time.Second
	maxCalmWait  = time.Minute
	// minExposure is the time that each lost run counts as having been on its server at least.
	minExposure = 500 * time.Millisecond
	// maxReportGap bounds the time from a report of a server until its crash is noticed by a poll.
	maxReportGap = 2 * time.Second
	// maxUnansweredStart is how long a start request without a response may be the cause of a crash.
	maxUnansweredStart = time.Second
	// crashHistoryTime and maxCrashHistory bound the crashes that are remembered. The crash rate is taken over minRateTime at
	// least, with half a crash more than were seen, as it isn't zero where there was none yet.
	crashHistoryTime = 10 * time.Minute
	maxCrashHistory  = 1024
	minRateTime      = 10 * time.Second
	unseenCrashes    = 0.5
)

// exposure is the time in which a server certainly crashed under a run, if it crashed.
type exposure struct {
	from, until time.Time
}

func (a *attempt) exposure(now time.Time) exposure {
	e := exposure{from: a.startSentAt, until: now}
	if e.from.IsZero() {
		e.from = a.startedAt
	}
	if latest := a.server.clockAt.Add(maxReportGap); latest.After(e.from) && latest.Before(now) {
		e.until = latest
	}
	return e
}

func (e exposure) duration() time.Duration { return max(e.until.Sub(e.from), minExposure) }

// serverCrash is the crash of a server on which no run was starting, so that no start caused it.
type serverCrash struct {
	server, pool string
	incarnation  int64
	at           time.Time
}

func (c serverCrash) isSame(other serverCrash) bool {
	return c.server == other.server && c.incarnation == other.incarnation
}

// crashHistory holds the crashes that show how often servers crash whatever runs on them.
type crashHistory struct {
	crashes []serverCrash        // in order of time
	unrest  map[string]time.Time // when servers last crashed whatever runs on them, by pool, or "" for all pools
	// rates are the rates of these crashes by pool, and of all under "".
	rates     map[string]*crashRate
	countedAt time.Time
	// idle caches the servers on which no run is starting, at idleAt.
	idle   []*server
	idleAt time.Time
}

// crashRate holds a number of crashes and the time of the servers on which no run was starting, with less weight for what is long ago.
type crashRate struct {
	crashes, seconds float64
}

// countIdleTime counts the time of the servers on which no run is starting, once a second.
func (s *State) countIdleTime(now time.Time) {
	h := &s.crashHistory
	since := now.Sub(h.countedAt)
	if since < time.Second {
		return
	}
	h.countedAt = now
	weight := math.Exp(-float64(since) / float64(crashHistoryTime))
	for _, r := range h.rates {
		r.crashes, r.seconds = r.crashes*weight, r.seconds*weight
	}
	counted := min(since, 2*time.Second).Seconds()
	for _, v := range s.idleServers() {
		h.rate(v.reg.Pool).seconds += counted
		h.rate("").seconds += counted
	}
}

func (h *crashHistory) rate(pool string) *crashRate {
	if h.rates[pool] == nil {
		h.rates[pool] = &crashRate{}
	}
	return h.rates[pool]
}

// perSecond returns the crashes of a server a second, among a number of servers.
func (r *crashRate) perSecond(crashes float64, servers int) float64 {
	return max(crashes, 0) / max(r.seconds, float64(servers)*minRateTime.Seconds(), 1)
}

// noteServerCrash records that a server crashed, unless a run may have been starting there or its end was planned. The pool of a
// server without a registration in this term isn't known.
func (s *State) noteServerCrash(v *server) {
	if v.reg.Pool == "" || v.retired || v.reg.Draining || v.startsRun(s.now) {
		return
	}
	h := &s.crashHistory
	c := serverCrash{server: v.id, pool: v.reg.Pool, incarnation: v.incarnation, at: s.now}
	if slices.ContainsFunc(h.crashes, c.isSame) {
		return // it has reported after it was found to be down
	}
	h.rate(v.reg.Pool).crashes++
	h.rate("").crashes++
	h.crashes = append(h.crashes, c)
	old := max(0, len(h.crashes)-maxCrashHistory)
	for h.crashes[old].at.Before(s.now.Add(-crashHistoryTime)) {
		old++
	}
	h.crashes = slices.Delete(h.crashes, 0, old)
	o := otherCrashes{}
	s.countOtherCrashes(&o, v.reg.Pool, s.now.Add(-unrestWindow), func(string) bool { return true })
	if o.crashed > 1 && float64(o.crashed) >= unrestShare*float64(o.servers) {
		h.unrest[""] = s.now
	}
	if o.crashedInPool > 1 && float64(o.crashedInPool) >= unrestShare*float64(o.serversInPool) {
		h.unrest[v.reg.Pool] = s.now
	}
}

// awaitsCalm reports whether the task isn't started yet because servers crash at once.
func (s *State) awaitsCalm(t *task, now time.Time) bool {
	if len(s.crashHistory.unrest) == 0 || t.record.Crashes+len(t.record.Losses) == 0 || !schedule.AwaitsCalm(t.crashes()) {
		return false
	}
	last := s.crashHistory.unrest[""]
	if inPool := s.crashHistory.unrest[s.poolOf(t.job)]; inPool.After(last) {
		last = inPool
	}
	return now.Sub(last) < calmTime && now.Sub(t.lostAt) < maxCalmWait
}

// startsRun reports whether a run may be starting on the server that no report has listed yet.
func (v *server) startsRun(now time.Time) bool {
	for _, a := range v.attempts {
		if !a.reported && (a.accepted || !a.startSentAt.IsZero() && now.Sub(a.startSentAt) < maxUnansweredStart) {
			return true
		}
	}
	return false
}

// idleServers returns the servers on which no run is starting.
func (s *State) idleServers() []*server {
	h := &s.crashHistory
	if h.idleAt.Equal(s.now) {
		return h.idle
	}
	h.idle, h.idleAt = h.idle[:0], s.now
	for _, v := range s.servers {
		if v.usable(s.now) && !v.startsRun(s.now) {
			h.idle = append(h.idle, v)
		}
	}
	return h.idle
}

// otherCrashes is what the controller knows of the crashes of other servers while a run was on one that crashed.
type otherCrashes struct {
	duration                     time.Duration
	crashed, servers             int // servers that crashed in this time or shortly before, of those on which no run was starting
	crashedInPool, serversInPool int
	rate                         float64 // crashes of a server a second
}

// crashesElsewhere returns the crashes of servers in the time of a run that was lost with a server. Those that the run's task may
// have caused don't count.
func (s *State) crashesElsewhere(t *task, id string, e exposure) otherCrashes {
	o := otherCrashes{duration: e.duration()}
	from := s.now.Add(-crashWaveTime)
	if e.from.Before(from) {
		from = e.from
	}
	pool, h := s.poolOf(t.job), &s.crashHistory
	counts := func(server string) bool { return server != id && !t.failedOnServer(server) }
	s.countOtherCrashes(&o, pool, from, counts)
	own, ownInPool, ofServer := 0, 0, 0
	for _, c := range h.crashes {
		switch {
		case counts(c.server):
			continue
		case c.pool == pool:
			ownInPool++
		}
		own++
		if c.server == id && c.at.Before(e.from) {
			ofServer++
		}
	}
	all, inPool := h.rate(""), h.rate(pool)
	period := min(max(s.now.Sub(s.began), minRateTime), crashHistoryTime)
	o.rate = max(all.perSecond(max(all.crashes-float64(own), 0)+unseenCrashes, len(s.servers)),
		inPool.perSecond(inPool.crashes-float64(ownInPool), s.poolSize(pool)), float64(ofServer)/period.Seconds())
	return o
}

// poolSize returns the number of known servers of a pool.
func (s *State) poolSize(pool string) int {
	n := 0
	for _, v := range s.servers {
		if v.reg.Pool == pool {
			n++
		}
	}
	return n
}

// countOtherCrashes counts the servers that have crashed since the given time, and those on which no run is starting, if they
// count.
func (s *State) countOtherCrashes(o *otherCrashes, pool string, from time.Time, counts func(server string) bool) {
	crashed := make(map[string]bool)
	for _, c := range s.crashHistory.crashes {
		if !c.at.Before(from) && !crashed[c.server] && counts(c.server) {
			crashed[c.server] = true
			o.countServer(c.pool == pool, true)
		}
	}
	for _, v := range s.idleServers() {
		if !crashed[v.id] && !v.knownSince.After(from) && counts(v.id) {
			o.countServer(v.reg.Pool == pool, false)
		}
	}
}

func (o *otherCrashes) countServer(inPool, crashed bool) {
	o.servers++
	if crashed {
		o.crashed++
	}
	if inPool {
		o.serversInPool++
	}
	if inPool && crashed {
		o.crashedInPool++
	}
}

// probability returns the probability that any server crashes in the time of the run: as servers do on average, or as they did at
// that time if several crashed.
func (o otherCrashes) probability() float64 {
	p := 1 - math.Exp(-o.rate*o.duration.Seconds())
	if o.crashed > 1 {
		p = max(p, float64(o.crashed)/float64(o.servers))
	}
	if o.crashedInPool > 1 {
		p = max(p, float64(o.crashedInPool)/float64(o.serversInPool))
	}
	return p
}
