package fleet

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// pool is the servers of a pool that may take work, during one placement.
type pool struct {
	servers []*server
	views   []schedule.Server
	jobs    []*job
}

// placeIfDue places waiting tasks where something changed. What is placed while a commit is under way would wait for
// it anyway.
func (s *State) placeIfDue(now time.Time) {
	if !s.mayStart(now) || s.commit != nil || (!s.schedule && len(s.dirty) == 0) {
		return
	}
	if now.Sub(s.placedAt) < time.Duration(len(s.servers))*placePausePerServer {
		return
	}
	s.placedAt = now
	s.place(now)
	s.schedule = false
	clear(s.dirty)
}

// place assigns waiting tasks to servers. What it assigns starts once it is stored.
func (s *State) place(now time.Time) {
	pools := s.poolsInService(now)
	for _, j := range s.jobs {
		if j.state.Final() {
			continue
		}
		if p, ok := pools[s.poolOf(j)]; ok {
			p.jobs = append(p.jobs, j)
		}
	}
	left := maxIntentsInPass
	for name, p := range pools {
		s.overLimit[name], s.short[name] = 0, 0
		candidates := make([]schedule.Candidate, 0, len(p.jobs))
		for _, j := range p.jobs {
			candidates = append(candidates, s.candidate(j, p.servers[0].reg.Capacity))
		}
		schedule.SortCandidates(candidates, float64(len(p.servers)), now)
		for i := range candidates {
			if left <= 0 {
				return
			}
			left -= s.placeJob(s.jobs[candidates[i].ID], p, now)
		}
	}
}

// poolOf returns the pool that a job's queue uses now.
func (s *State) poolOf(j *job) string {
	if s.directory != nil {
		if q, ok := s.directory.Queue(j.spec.Queue()); ok {
			return q.Pool
		}
	}
	return j.spec.Pool()
}

func (s *State) candidate(j *job, capacity workload.Resources) schedule.Candidate {
	rest := j.rest(capacity)
	return schedule.Candidate{
		ID: j.spec.ID(), LongRunning: j.lasting, Priority: j.spec.Priority(), Submitted: j.submitted,
		Objective: j.objective, Remaining: rest.path, Work: rest.work,
	}
}

func (s *State) poolsInService(now time.Time) map[string]*pool {
	pools := make(map[string]*pool)
	for _, v := range s.allServers() {
		if !s.takesWork(v, now) || (!s.schedule && !s.dirty[v.reg.Pool]) {
			continue
		}
		p := pools[v.reg.Pool]
		if p == nil {
			p = &pool{}
			pools[v.reg.Pool] = p
		}
		p.add(v)
	}
	return pools
}

// takesWork reports whether new runs may be placed on a server.
func (s *State) takesWork(v *server, now time.Time) bool {
	return v.usable(now) && !v.leaving && !s.zonesOut[v.reg.Zone]
}

func (p *pool) add(v *server) {
	p.servers = append(p.servers, v)
	p.views = append(p.views, schedule.Server{
		ID: v.id, Zone: v.reg.Zone, Rack: v.reg.Rack, Kind: v.reg.Kind, Capacity: v.reg.Capacity,
		Free: v.reg.Capacity.Minus(v.reserved), ConsecutiveFailures: v.failures, MaintenanceDue: v.due, HasLongRunning: v.lasting(),
	})
}

// placeJob assigns the tasks of a job that may start, and returns their number.
func (s *State) placeJob(j *job, p *pool, now time.Time) int {
	placed := 0
	for occurrence := range j.made {
		if j.spec.Scheduled() && j.spec.DueTime(occurrence).After(now) {
			continue // it was begun by an entry VM whose clock is ahead
		}
		for number := range j.spec.Steps() {
			st := j.steps[[2]int{occurrence, number}]
			if st.idle == 0 || !j.mayStart(occurrence, st) {
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

// placeStep assigns the tasks of a step one by one, until one doesn't fit.
func (s *State) placeStep(st *step, p *pool, now time.Time) int {
	placed := 0
	p.look(st)
	s.useAdvice(st, p, now)
	for _, t := range st.tasks {
		if !t.wants(now) {
			continue
		}
		if t.job.live >= maxLiveTasks {
			break
		}
		if !s.withinLimit(t, 1) {
			s.overLimit[s.poolOf(t.job)]++
			break
		}
		p.avoid(t)
		i := schedule.SelectServer(st.spec, p.views)
		if i >= 0 && st.spec.LongRunning() && p.views[i].MaintenanceDue && s.fitsElsewhere(st, p.servers[i], now) {
			i = -1 // it would have to move again
		}
		if i < 0 {
			if st.spec.LongRunning() {
				p.reserve(st.spec)
				s.short[s.poolOf(t.job)] += st.shortfall()
			}
			break
		}
		s.assign(t, p, i, t.record.LastRun+1, now)
		p.count(i, st)
		placed++
	}
	return placed
}

// shortfall is the number of servers that the idle tasks of a step need beside those that have no room for them.
func (st *step) shortfall() int {
	perServer := max(st.spec.MaxPerServer(), 1)
	return (st.idle + perServer - 1) / perServer
}

// look fills in what the views tell about a step.
func (p *pool) look(st *step) {
	onServer := make(map[*server]int)
	onRack := make(map[string]int)
	for _, other := range st.tasks {
		for _, a := range other.attempts {
			onServer[a.server]++
			onRack[a.server.reg.Rack]++
		}
	}
	disturbs := st.spec.BestEffort() || st.spec.LatencyTarget() > 0
	for i, v := range p.servers {
		p.views[i].SameStepRuns = onServer[v]
		p.views[i].RackSameStepRuns = onRack[v.reg.Rack]
		p.views[i].TaskFailedBefore = false
		p.views[i].InterferingRuns = 0
		if disturbs {
			p.views[i].InterferingRuns = v.interference(st.spec)
		}
	}
}

// avoid fills in on which servers a task failed.
func (p *pool) avoid(t *task) {
	if len(t.failedOn) == 0 {
		return
	}
	for i, v := range p.servers {
		p.views[i].TaskFailedBefore = t.failedThere(v.id)
	}
}

// count adds a task of the step at hand to a server.
func (p *pool) count(i int, st *step) {
	p.views[i].SameStepRuns++
	p.views[i].HasLongRunning = p.views[i].HasLongRunning || st.spec.LongRunning()
	for k := range p.views {
		if p.views[k].Rack == p.views[i].Rack {
			p.views[k].RackSameStepRuns++
		}
	}
}

// interference counts the runs that a task would disturb or be disturbed by.
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

// reserve keeps room for a task that lasts and doesn't fit yet, on the server that has the most, but on none that is due
// for maintenance.
func (p *pool) reserve(spec workload.Step) {
	best := -1
	for i := range p.views {
		if p.views[i].MaintenanceDue || !spec.Reserves().FitsIn(p.views[i].Capacity) || (spec.MaxPerServer() > 0 && p.views[i].SameStepRuns >= spec.MaxPerServer()) {
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

// withinLimit reports whether the customer may have so many more tasks running.
func (s *State) withinLimit(t *task, count int64) bool {
	name := t.job.spec.Customer()
	if name == "" || s.directory == nil {
		return true
	}
	c, known := s.directory.Customer(name)
	if !known {
		return true
	}
	return s.customers[name].Plus(t.step.spec.Requests().Times(count)).WithinLimit(c.Limit)
}

func (s *State) assign(t *task, p *pool, i, run int, now time.Time) {
	v := p.servers[i]
	a := &attempt{run: run, phase: storing, incarnation: v.incarnation, checkpoint: t.record.Checkpoint, since: now}
	s.addAttempt(t, v, a)
	p.views[i].Free = p.views[i].Free.Minus(a.reserves)
	t.job.started = true
	s.change(t.job)
	klog.V(1).InfoS("Run placed", "run", a.id(), "server", v.id, "waited", now.Sub(t.job.submitted),
		"objective", t.job.spec.Objective(), "server-heard", now.Sub(v.clockAt))
}

// placeGang assigns all tasks of a gang at once, or none.
func (s *State) placeGang(st *step, p *pool, now time.Time) int {
	run := 0
	for _, t := range st.tasks {
		if !t.wants(now) {
			return 0
		}
		run = max(run, t.record.LastRun+1)
	}
	if !s.withinLimit(st.tasks[0], int64(len(st.tasks))) {
		return 0
	}
	before := slices.Clone(p.views)
	chosen := make([]int, 0, len(st.tasks))
	p.look(st)
	s.useAdvice(st, p, now)
	for range st.tasks {
		i := schedule.SelectServer(st.spec, p.views)
		if i < 0 {
			p.views = before
			return 0
		}
		p.views[i].Free = p.views[i].Free.Minus(st.spec.Reserves())
		p.count(i, st)
		chosen = append(chosen, i)
	}
	p.views = before
	for n, t := range st.tasks {
		s.assign(t, p, chosen[n], run, now)
	}
	return len(chosen)
}
