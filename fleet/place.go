package fleet

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// placementPool holds the servers of a pool that accept new runs and the pool's jobs, for one placement pass.
type placementPool struct {
	servers []*server
	views   []schedule.Server
	jobs    []*job
	// unplaceable holds the resources of tasks without constraints that fit on no server. Capacity isn't released during
	// a pass, so tasks that need as much don't fit either.
	unplaceable []workload.Resources
	onlySlow    []onlySlow // such tasks that fit on slow servers only
	isolation   isolation
}

// packingEfficiency is the share of a server's capacity that tasks of different sizes use while others wait.
const packingEfficiency = 0.8

// placeIfDue places pending tasks in the pools in which a change may allow starts. While a commit is in flight it
// places none, as the intents would have to wait for that commit anyway.
func (s *State) placeIfDue(now time.Time) {
	if !s.maySendRequests(now) || s.commit != nil || (!s.placeAll && len(s.dirtyPools) == 0) {
		return
	}
	if now.Sub(s.placedAt) < s.placementInterval() {
		return
	}
	s.placedAt = now
	s.place(now)
	s.placeAll = false
	clear(s.dirtyPools)
}

// placementInterval returns the shortest time between two placement passes.
func (s *State) placementInterval() time.Duration {
	return min(time.Duration(len(s.servers))*placementIntervalPerServer, maxPlacementInterval)
}

// place assigns pending tasks to servers. The runs are started once their intents are stored.
func (s *State) place(now time.Time) {
	pools := s.poolsInService(now)
	for _, j := range s.jobs {
		if !s.mayPlace(j, now) {
			continue
		}
		if p, ok := pools[s.poolOf(j)]; ok {
			p.jobs = append(p.jobs, j)
		}
	}
	budget := maxIntentsPerPass
	for name, p := range pools {
		s.overLimit[name], s.longRunningShortage[name], s.lacks[name] = 0, 0, nil
		p.reserveServers(s.isolatedServers[name]-p.isolation.count, s.isolationWaiting[name])
		candidates := make([]schedule.Candidate, 0, len(p.jobs))
		for _, j := range p.jobs {
			candidates = append(candidates, s.candidate(j, s.serverCapacity(name), now))
		}
		schedule.SortCandidates(candidates, schedule.Capacity{Servers: p.workRate(), Joining: s.joiningServers(name)}, now)
		for i := range candidates {
			if budget <= 0 {
				return
			}
			budget -= s.placeJob(s.jobs[candidates[i].ID], p, now)
		}
		budget -= s.placeRemainingIsolated(candidates, p, now)
		s.placeCopies(p, name, now)
		s.isolatedServers[name], s.isolationWaiting[name] = p.isolatedServers(), p.waitingSteps()
	}
}

// mayPlace reports whether tasks of a job may be placed, if there are servers for them.
func (s *State) mayPlace(j *job, now time.Time) bool {
	return !j.state.Final() && !now.Before(j.heldUntil) && !s.awaitsCancels(j)
}

// workRate returns the work of jobs that the pool does in one second, in server-seconds. Long-running tasks take part of
// its capacity, and tasks don't fill a server exactly.
func (p *placementPool) workRate() float64 {
	total := 0.0
	for _, v := range p.servers {
		total += v.speed.value * (1 - v.longRunningReserved().DominantShare(v.reg.Capacity))
	}
	return total * packingEfficiency
}

// joiningServers returns the number of servers that are moving into a pool, less what tasks of different sizes leave free.
func (s *State) joiningServers(pool string) float64 {
	count := 0
	for _, m := range s.moves {
		if m.pool == pool {
			count++
		}
	}
	return float64(count) * packingEfficiency
}

// poolOf returns the pool that the job's queue currently uses, or the pool at acceptance if the queue was removed.
func (s *State) poolOf(j *job) string {
	if s.directory != nil {
		if q, ok := s.directory.Queue(j.spec.Queue()); ok {
			return q.Pool
		}
	}
	return j.spec.Pool()
}

func (s *State) poolsInService(now time.Time) map[string]*placementPool {
	pools := make(map[string]*placementPool)
	for _, v := range s.allServers() {
		if !s.acceptsPlacement(v, now) || (!s.placeAll && !s.dirtyPools[v.reg.Pool]) {
			continue
		}
		p := pools[v.reg.Pool]
		if p == nil {
			p = &placementPool{isolation: newIsolation()}
			pools[v.reg.Pool] = p
		}
		p.addInService(v)
	}
	return pools
}

// addInService adds a server that accepts placement. One with isolated runs starts runs of their job only.
func (p *placementPool) addInService(v *server) {
	if j := v.isolatedJob(); j != nil {
		p.isolation.add(j, v)
		return
	}
	p.add(v)
}

// acceptsPlacement reports whether new runs may be placed on a server.
func (s *State) acceptsPlacement(v *server, now time.Time) bool {
	if _, inherited := s.inheritedRequests[v.reg.VM]; inherited {
		return false // the request would end what is placed there
	}
	return v.usable(now) && !v.leavesStartsUnanswered(now) && !v.cordoned && !v.releasing && !s.evacuatedZones[v.reg.Zone]
}

func (p *placementPool) add(v *server) {
	p.servers = append(p.servers, v)
	p.views = append(p.views, placementView(v))
}

func placementView(v *server) schedule.Server {
	return schedule.Server{
		ID: v.id, Zone: v.reg.Zone, Rack: v.reg.Rack, Kind: v.reg.Kind, Capacity: v.reg.Capacity,
		Free: v.free(), ConsecutiveFailures: v.consecutiveFailures,
		MaintenanceDue: v.maintenanceDue, HasLongRunning: v.hasLongRunning(), Slow: v.slow(),
	}
}

// placeJob assigns the tasks of a job that may start to servers, and returns their number.
func (s *State) placeJob(j *job, p *placementPool, now time.Time) int {
	placed := 0
	for _, occurrence := range j.open {
		if j.spec.Scheduled() && j.spec.DueTime(occurrence).After(now) {
			continue // its tasks were restored from a controller whose clock was ahead
		}
		for number := range j.spec.Steps() {
			st := j.steps[[2]int{occurrence, number}]
			if st.unassigned == 0 || !j.dependenciesDone(occurrence, st) {
				continue
			}
			if st.spec.Gang() {
				placed += s.placeGang(st, p, now)
				continue
			}
			placed += s.placeStep(st, p, now)
		}
	}
	return placed
}

// placeStep assigns the tasks of a step one by one until one can't be placed, and returns the number of assigned tasks.
func (s *State) placeStep(st *step, p *placementPool, now time.Time) int {
	placed := 0
	mayFit := p.mayFit(st.spec) && !s.awaitsAsOthers(st, p, now)
	if !mayFit && !st.mayNeedIsolation {
		return 0
	}
	p.countStepRuns(st)
	s.applyRecommendation(st, p, now)
	last := -1 // the server of the previous task
	for _, t := range st.tasks {
		if !t.needsRun(now) || s.awaitsCalm(t, now) {
			continue
		}
		if t.job.activeRuns+t.job.lateStarts >= maxActiveRuns {
			break
		}
		if !s.hasRowFor([]*task{t}, now) {
			break
		}
		if !s.withinLimit(t, 1) {
			s.overLimit[s.poolOf(t.job)]++
			break
		}
		if s.needsIsolation(t, now) {
			if s.placeIsolated(t, p, now) {
				placed++
			}
			continue
		}
		if !mayFit {
			continue
		}
		p.markFailedServers(t)
		i := last
		if i < 0 || len(t.failedOn) > 0 || !schedule.StaysBest(st.spec, &p.views[i]) {
			i = schedule.SelectServer(st.spec, p.views)
		}
		if i >= 0 && st.spec.LongRunning() && p.views[i].MaintenanceDue &&
			(s.awaitsPlace(t, now) || s.fitElsewhere(st, p.servers[i], 1, now)) {
			i = -1 // it would soon have to migrate
		}
		if i >= 0 && p.views[i].Slow && s.awaitsNormalServer(st, p, p.servers[i].speed.value, now) {
			p.noteOnlySlow(t, p.servers[i].speed.value, s.recommendation(t.job) == nil)
			break
		}
		if i < 0 {
			s.noteLack(st, p)
			if st.spec.LongRunning() {
				p.reserveCapacity(st.spec)
			} else if !st.spec.Constrained() && s.recommendation(t.job) == nil {
				p.unplaceable = append(p.unplaceable, st.spec.Reserves())
			}
			break
		}
		s.assign(t, p, i, t.record.LastRun+1, now)
		p.countRun(i, st)
		placed++
		last = i
		if len(t.failedOn) > 0 {
			last = -1 // selected by the failures of this task
			p.clearFailedServers()
		}
	}
	return placed
}

// mayFit reports whether a task might fit on a server. Long-running tasks always might, as capacity is then reserved for
// them.
func (p *placementPool) mayFit(spec workload.Step) bool {
	if spec.LongRunning() {
		return true
	}
	for _, r := range p.unplaceable {
		if r.FitsIn(spec.Reserves()) {
			return false
		}
	}
	return true
}

// missingServers returns the number of additional servers that the unassigned tasks of a step need.
func (st *step) missingServers() int {
	perServer := max(st.spec.MaxPerServer(), 1)
	return (max(st.unassigned-st.givenUp, 1) + perServer - 1) / perServer
}

// countStepRuns fills in the fields of the views that depend on the step.
func (p *placementPool) countStepRuns(st *step) {
	onServer := make(map[*server]int)
	startableOn := make(map[string]int) // by the next incarnation of the server
	onRack := make(map[string]int)
	for _, other := range st.tasks {
		for _, l := range other.lateStarts {
			startableOn[l.server]++
		}
		for _, a := range other.attempts {
			onServer[a.server]++
			onRack[a.server.reg.Rack]++
		}
	}
	interferes := st.spec.BestEffort() || st.spec.LatencyTarget() > 0
	for i, v := range p.servers {
		p.views[i].SameStepRuns = onServer[v] + startableOn[v.id]
		p.views[i].RackSameStepRuns = onRack[v.reg.Rack]
		p.views[i].TaskFailedBefore = false
		p.views[i].InterferingRuns = 0
		if interferes {
			p.views[i].InterferingRuns = v.interference(st.spec)
		}
	}
}

// markFailedServers marks the servers on which a task failed before.
func (p *placementPool) markFailedServers(t *task) {
	if len(t.failedOn) == 0 {
		return
	}
	for i, v := range p.servers {
		p.views[i].TaskFailedBefore = t.failedOnServer(v.id)
	}
}

// clearFailedServers removes the marks of markFailedServers.
func (p *placementPool) clearFailedServers() {
	for i := range p.views {
		p.views[i].TaskFailedBefore = false
	}
}

// countRun adds a run of the current step to the view of server i and to those of its rack.
func (p *placementPool) countRun(i int, st *step) {
	p.views[i].SameStepRuns++
	p.views[i].HasLongRunning = p.views[i].HasLongRunning || st.spec.LongRunning()
	if !st.spec.SameRack() && !st.spec.LongRunning() {
		return // the number of runs on the rack isn't used
	}
	for k := range p.views {
		if p.views[k].Rack == p.views[i].Rack {
			p.views[k].RackSameStepRuns++
		}
	}
}

// interference returns the number of runs on the server that a task would slow down or be slowed down by: best-effort
// tasks slow down latency-sensitive ones.
func (v *server) interference(spec workload.Step) int {
	n := 0
	for _, a := range v.attempts {
		other := a.task.step.spec
		if (spec.BestEffort() && other.LatencyTarget() > 0) || (spec.LatencyTarget() > 0 && other.BestEffort()) {
			n++
		}
	}
	return n
}

// reserveCapacity keeps capacity free for a long-running task that doesn't fit yet, on the server with the most free
// processor capacity of those that may run it and aren't due for maintenance.
func (p *placementPool) reserveCapacity(spec workload.Step) {
	best := -1
	for i := range p.views {
		if p.views[i].MaintenanceDue || !schedule.MayRun(spec, &p.views[i]) {
			continue
		}
		if best < 0 || p.views[i].Free.MilliCores() > p.views[best].Free.MilliCores() {
			best = i
		}
	}
	if best >= 0 {
		p.views[best].Free = p.views[best].Free.Minus(spec.Reserves())
	}
}

// withinLimit reports whether count more runs of the task's step stay within the limit of its customer.
func (s *State) withinLimit(t *task, count int64) bool {
	name := t.job.spec.Customer()
	if name == "" || s.directory == nil {
		return true
	}
	c, known := s.directory.Customer(name)
	if !known {
		return true
	}
	return s.customerUsage[name].Plus(t.step.spec.Requests().Times(count)).WithinLimit(c.Limit)
}

func (s *State) assign(t *task, p *placementPool, i, run int, now time.Time) {
	a := s.assignTo(t, p.servers[i], run, now)
	p.views[i].Free = p.views[i].Free.Minus(a.reserves)
}

// assignTo assigns the next run of a task to a server.
func (s *State) assignTo(t *task, v *server, run int, now time.Time) *attempt {
	a := &attempt{
		runNumber: run, phase: storing, incarnation: v.incarnation, checkpoint: t.record.Checkpoint, startedAt: now,
	}
	s.addAttempt(t, v, a)
	a.ticketed = a.ticketFor() != ""
	t.job.row.bytes += s.runBytes()
	t.job.started = true
	s.markChanged(t.job)
	klog.V(1).InfoS("Run placed", "run", a.id(), "server", v.id, "wait", now.Sub(t.job.submitted),
		"objective", t.job.spec.Objective(), "report-age", now.Sub(v.clockAt))
	return a
}

// placeGang assigns all tasks of a gang at once, or none, and returns their number.
func (s *State) placeGang(st *step, p *placementPool, now time.Time) int {
	run := 0
	for _, t := range st.tasks {
		if !t.needsRun(now) || s.awaitsCalm(t, now) {
			return 0
		}
		run = max(run, t.record.LastRun+1)
	}
	if active := st.tasks[0].job.activeRuns + st.tasks[0].job.lateStarts; active > 0 && active+len(st.tasks) > maxActiveRuns {
		return 0
	}
	if !s.withinLimit(st.tasks[0], int64(len(st.tasks))) || !s.hasRowFor(st.tasks, now) {
		return 0
	}
	p.countStepRuns(st)
	s.applyRecommendation(st, p, now)
	if s.gangNeedsIsolation(st, now) {
		if chosen := p.selectForGang(st, true); chosen != nil {
			st.shareCheckpoint()
			for n, t := range st.tasks {
				if p.servers[chosen[n]].isolatedRuns == 0 {
					s.isolateServer(t.job, p, chosen[n])
				}
				s.assignIsolated(t, p.servers[chosen[n]], run, now)
			}
			return len(chosen)
		}
		p.awaitIsolation(st)
		if now.Sub(st.lostAt()) < isolationWait {
			return 0
		}
	}
	chosen := p.selectForGang(st, false)
	if len(chosen) > 0 {
		st.shareCheckpoint()
	}
	for n, i := range chosen {
		s.assign(st.tasks[n], p, i, run, now)
	}
	return len(chosen)
}

// shareCheckpoint gives all tasks of a gang the checkpoint that the latest run of one of them saved. That of any member is valid
// for all of them, and all must start with the same one.
func (st *step) shareCheckpoint() {
	for n := 0; st.checkpoint == "" && n < len(st.tasks); n++ {
		st.checkpoint = st.tasks[n].record.Checkpoint
	}
	for _, t := range st.tasks {
		t.record.Checkpoint = st.checkpoint
	}
}

// selectForGang returns the indexes of servers for all tasks of a gang, or nil if they don't fit. For an isolated gang
// these are servers without runs.
func (p *placementPool) selectForGang(st *step, isolated bool) []int {
	unchanged := p.views
	defer func() { p.views = unchanged }()
	p.views = slices.Clone(p.views)
	for i, v := range p.servers {
		if !isolated {
			continue
		}
		p.views[i].Free = p.isolationView(i).Free
		p.views[i].Excluded = p.views[i].Excluded || len(v.attempts) > 0
	}
	chosen := make([]int, 0, len(st.tasks))
	for range st.tasks {
		i := schedule.SelectServer(st.spec, p.views)
		if i < 0 {
			return nil
		}
		p.views[i].Free = p.views[i].Free.Minus(st.spec.Reserves())
		p.countRun(i, st)
		chosen = append(chosen, i)
	}
	return chosen
}
