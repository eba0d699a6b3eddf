package fleet

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/schedule"
)

// stopSlowServer is the reason for the stop of a run that is moved off a slow server.
const stopSlowServer = "slow-server"

// noteStraggler notes whether a run may be copied or moved, after its speed was measured. The duration of the run elsewhere is known from
// runs of its step there, or from how slow its server is.
func (s *State) noteStraggler(a *attempt, perSecond float64, relative float64, sameStep bool) {
	spec := a.task.step.spec
	a.rate, a.usualRate = perSecond, 0
	switch {
	case sameStep && relative > 0:
		a.usualRate = perSecond / relative
	case a.server.slow():
		a.usualRate = perSecond / max(a.server.speed.value, minServerSpeed)
	}
	if a.usualRate > 0 && schedule.IsSlow(perSecond/a.usualRate) && (spec.Duplicable() || spec.Checkpoints()) {
		s.stragglers[a] = true
	} else {
		delete(s.stragglers, a)
	}
}

// minServerSpeed bounds the estimate of how fast a run is elsewhere.
const minServerSpeed = 0.01

// straggler returns what decides on a copy or a move of a run.
func (a *attempt) straggler() schedule.Straggler {
	return schedule.Straggler{Done: float64(a.percent) / 100, Rate: a.rate, UsualRate: a.usualRate}
}

// stragglersOf returns the runs on servers of a pool that may be copied or moved, those with the most time left first.
func (s *State) stragglersOf(pool string) []*attempt {
	var found []*attempt
	for a := range s.stragglers {
		if a.server.reg.Pool == pool && s.isLoneRun(a) {
			found = append(found, a)
		}
	}
	slices.SortFunc(found, func(a, b *attempt) int {
		if c := cmp.Compare((1-b.straggler().Done)/b.rate, (1-a.straggler().Done)/a.rate); c != 0 {
			return c
		}
		return cmp.Compare(a.task.id.String(), b.task.id.String())
	})
	return found
}

// isLoneRun reports whether a run is at work, and its task has no other.
func (s *State) isLoneRun(a *attempt) bool {
	t := a.task
	return a.phase == running && a.reported && !a.stopRequested && a.server.failedPolls == 0 && t.isWanted() && len(t.attempts) == 1 &&
		len(t.lateStarts) == 0 && s.poolOf(t.job) == a.server.reg.Pool
}

// placeCopies copies or moves runs of a pool that are much slower than others, after the pending tasks were placed. Both start on servers
// of normal speed that have capacity left.
func (s *State) placeCopies(p *placementPool, pool string, now time.Time) {
	stragglers := s.stragglersOf(pool)
	if len(stragglers) == 0 {
		return
	}
	pending := p.hasPending(now)
	for _, a := range stragglers {
		spec := a.task.step.spec
		switch {
		case spec.Checkpoints() && a.server.slow() && s.moveOffSlowServer(a, p, pool, now):
		case spec.Duplicable() && !pending && s.mayCopy(a, now):
			s.placeCopy(a, p, pool, now)
		}
	}
}

// hasPending reports whether a task of the pool waits for a server.
func (p *placementPool) hasPending(now time.Time) bool {
	for _, j := range p.jobs {
		for _, occurrence := range j.open {
			for number := range j.spec.Steps() {
				st := j.steps[[2]int{occurrence, number}]
				if st.unassigned == 0 || !j.dependenciesDone(occurrence, st) {
					continue
				}
				if slices.ContainsFunc(st.tasks, func(t *task) bool { return t.needsRun(now) }) {
					return true
				}
			}
		}
	}
	return false
}

// mayCopy reports whether a run's task may get a copy. A task that failed gets none, as the failure of a copy counts as an attempt, and a
// task under which servers were lost runs on one at a time.
func (s *State) mayCopy(a *attempt, now time.Time) bool {
	t := a.task
	return !s.DisableCopies && !t.copied && t.record.Failures == 0 && s.maxAttempts(t.job) > 1 && t.record.Crashes == 0 && len(t.record.Losses) == 0 &&
		!t.step.mayNeedIsolation && !s.needsIsolation(t, now) && s.recommendation(t.job) == nil &&
		t.job.activeRuns+t.job.lateStarts < maxActiveRuns && s.withinLimit(t, 1) && a.straggler().WorthCopying(0)
}

// placeCopy starts a second run of a task on another server. It begins with the last checkpoint that the first run has reported. Once as
// many servers as may have copies do, no others are used. During a shortage of servers the idle ones are left to other pools.
func (s *State) placeCopy(a *attempt, p *placementPool, pool string, now time.Time) {
	t := a.task
	copying := s.serversWithCopies(pool)
	mayAdd := len(copying) < schedule.MaxCopyServers(len(p.servers), s.CopyPercent)
	i := p.selectElsewhere(a, func(v *server) bool {
		return (mayAdd || copying[v]) && (!s.capacityShortage || len(v.attempts) > 0)
	})
	if i < 0 || !s.hasRowFor([]*task{t}, now) {
		return
	}
	other := s.assignTo(t, p.servers[i], t.record.LastRun+1, now)
	p.views[i].Free = p.views[i].Free.Minus(other.reserves)
	other.checkpoint, t.copied = a.checkpoint, true
	s.setCopy(other)
	s.counters.copies.Inc(1)
	klog.InfoS("Copy placed", "run", other.id(), "server", other.server.id, "of-run", a.runNumber, "of-server", a.server.id,
		"speed", a.server.speed.value, "percent", a.percent, "rate", a.rate, "usual-rate", a.usualRate, "copies", len(s.copies))
}

// selectElsewhere returns the index of a server of normal speed with capacity for another run of a task, or -1.
func (p *placementPool) selectElsewhere(a *attempt, allowed func(*server) bool) int {
	p.countStepRuns(a.task.step)
	views := slices.Clone(p.views)
	for i, v := range p.servers {
		views[i].Excluded = views[i].Slow || views[i].MaintenanceDue || v == a.server || a.task.failedOnServer(v.id) || !allowed(v)
	}
	return schedule.SelectServer(a.task.step.spec, views)
}

// serversWithCopies returns the servers of a pool with copies of tasks.
func (s *State) serversWithCopies(pool string) map[*server]bool {
	servers := make(map[*server]bool)
	for a := range s.copies {
		if a.server.reg.Pool == pool {
			servers[a.server] = true
		}
	}
	return servers
}

func (s *State) setCopy(a *attempt) { s.copies[a] = true }

// restoreCopies marks the stored runs of a task beyond the first one as copies.
func (s *State) restoreCopies(t *task) {
	for _, a := range t.attempts {
		if a.runNumber > t.attempts[0].runNumber {
			s.setCopy(a)
		}
	}
	t.copied = len(t.attempts) > 1
}

// forgetCopy forgets what was kept of a run that doesn't exist any more.
func (s *State) forgetCopy(a *attempt) {
	delete(s.copies, a)
	delete(s.stragglers, a)
}

// discardRun stops a run whose task another run has done, and counts the time that it took.
func (s *State) discardRun(a *attempt) {
	s.requestStop(a, "copy-done")
	if !a.task.step.spec.Duplicable() || a.task.step.spec.Gang() {
		return
	}
	var took time.Duration
	if a.phase != storing {
		took = s.now.Sub(a.startedAt)
	}
	s.counters.discardedMS.Inc(took.Milliseconds())
	klog.InfoS("Work discarded, as another run was done first", "run", a.id(), "server", a.server.id, "copy", s.copies[a], "took", took,
		"percent", a.percent)
}

// moveOffSlowServer stops a run with checkpoints on a slow server, so that its task goes on elsewhere, and reports whether it did.
func (s *State) moveOffSlowServer(a *attempt, p *placementPool, pool string, now time.Time) bool {
	j, spec := a.task.job, a.task.step.spec
	if s.DisableRunMoves || s.recommendation(j) != nil || now.Sub(s.runMovedAt[pool]) < schedule.MoveInterval(len(p.servers), s.CopyPercent) {
		return false
	}
	later := max(j.remaining(s.serverCapacity(pool)).path-spec.DeclaredDuration(), 0)
	if !a.straggler().WorthMoving(j.submitted, j.objective, s.StopTime, later, now) {
		return false
	}
	i := p.selectElsewhere(a, func(*server) bool { return true })
	if i < 0 {
		return false
	}
	p.views[i].Free = p.views[i].Free.Minus(a.reserves)
	s.runMovedAt[pool] = now
	s.counters.runMoves.Inc(1)
	klog.InfoS("Moving run off a slow server", "run", a.id(), "server", a.server.id, "speed", a.server.speed.value, "percent", a.percent,
		"rate", a.rate, "usual-rate", a.usualRate)
	s.requestStop(a, stopSlowServer)
	return true
}
