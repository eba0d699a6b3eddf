package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// isolationShare bounds the servers of a pool that isolated runs have to themselves. Each pool may use one at least.
	isolationShare = 0.5
	// isolationWait is the time after a loss from which on a task may share its server with runs that have survived their
	// start, or return to a server that crashed under it, if there is no other server without runs.
	isolationWait = 1500 * time.Millisecond
)

// isolation is the part of a pool that isolated runs use, for one placement pass. A server with isolated runs starts runs
// of their job only.
type isolation struct {
	servers map[*job][]*server
	count   int            // of servers
	waiting map[*job]*step // jobs that found no server, with the step of the task that waits
	// reserved holds the free resources of servers on which only isolated runs are placed, by their index in the pool.
	reserved map[int]workload.Resources
	// unlimited lets isolated runs use all servers, once the jobs without isolated runs are placed.
	unlimited bool
}

func newIsolation() isolation {
	return isolation{
		servers: make(map[*job][]*server), waiting: make(map[*job]*step), reserved: make(map[int]workload.Resources),
	}
}

// reserveServers reserves up to n servers for isolated runs, those with the fewest runs. Without it other jobs would fill each server that
// becomes free, while jobs that may crash servers wait for one without starting runs. If tasks wait already, their steps are given, and each
// gets a server that may run it. The rest is for runs that were isolated in the pass before and have ended since.
func (p *placementPool) reserveServers(n int, waiting []*step) {
	ended := n - len(waiting)
	n = min(n, len(p.servers)/2)
	if n <= 0 {
		return
	}
	byRuns := make([]int, 0, len(p.servers))
	for i, v := range p.servers {
		if !v.hasLongRunning() {
			byRuns = append(byRuns, i)
		}
	}
	slices.SortStableFunc(byRuns, func(a, b int) int { return len(p.servers[a].attempts) - len(p.servers[b].attempts) })
	reserve := func(mayRun func(i int) bool) {
		if n == len(p.isolation.reserved) {
			return
		}
		if k := slices.IndexFunc(byRuns, mayRun); k >= 0 {
			i := byRuns[k]
			byRuns = slices.Delete(byRuns, k, k+1)
			p.isolation.reserved[i] = p.views[i].Free
			p.views[i].Free = workload.Resources{}
		}
	}
	for _, st := range waiting {
		reserve(func(i int) bool {
			view := p.views[i]
			view.SameStepRuns = p.servers[i].runsOf(st)
			return schedule.MayRun(st.spec, &view)
		})
	}
	for range ended {
		reserve(func(int) bool { return true })
	}
}

// awaitIsolation notes that a job waits for a server for an isolated run, if one of the pool may run it.
func (p *placementPool) awaitIsolation(st *step) {
	if st.spec.Label() == "" || p.hasServerFor(st.spec) {
		p.isolation.waiting[st.tasks[0].job] = st
	}
}

// isolationView returns the view of server i for an isolated run.
func (p *placementPool) isolationView(i int) schedule.Server {
	view := p.views[i]
	if free, reserved := p.isolation.reserved[i]; reserved {
		view.Free = free
	}
	return view
}

func (o *isolation) add(j *job, v *server) {
	o.servers[j] = append(o.servers[j], v)
	o.count++
}

// maxIsolated returns the number of the pool's servers that isolated runs may have to themselves while other jobs wait.
func (p *placementPool) maxIsolated() int {
	return max(1, int(isolationShare*float64(len(p.servers)+p.isolation.count)))
}

// waitingSteps returns the steps of the tasks that wait for isolated runs, in the order of their jobs' ids.
func (p *placementPool) waitingSteps() []*step {
	return slices.SortedFunc(maps.Values(p.isolation.waiting), func(a, b *step) int {
		return strings.Compare(a.tasks[0].job.spec.ID(), b.tasks[0].job.spec.ID())
	})
}

// isolatedServers returns the number of servers that isolated runs have or need.
func (p *placementPool) isolatedServers() int {
	return min(p.isolation.count+len(p.isolation.waiting), max(p.isolation.count, p.maxIsolated()))
}

// placeIsolated assigns a task to a server that starts no run of another job. It reports whether there is one.
func (s *State) placeIsolated(t *task, p *placementPool, now time.Time) bool {
	j := t.job
	for _, v := range p.isolation.servers[j] {
		view := placementView(v)
		view.SameStepRuns = v.runsOf(t.step)
		view.Excluded = s.recommendation(j) != nil && !t.step.hasTicket(v, now)
		if schedule.Fits(t.step.spec, &view) {
			s.assignIsolated(t, v, t.record.LastRun+1, now)
			return true
		}
	}
	if i := p.selectForIsolation(t, now); i >= 0 {
		s.isolateServer(j, p, i)
		s.assignIsolated(t, p.servers[i], t.record.LastRun+1, now)
		return true
	}
	p.awaitIsolation(t.step)
	return false
}

// placeRemainingIsolated places the jobs that wait for a server for isolated runs on those that no other job uses. It returns
// the number of assigned tasks.
func (s *State) placeRemainingIsolated(candidates []schedule.Candidate, p *placementPool, now time.Time) int {
	placed := 0
	p.isolation.unlimited = true
	for i := range candidates {
		if j := s.jobs[candidates[i].ID]; p.isolation.waiting[j] != nil {
			delete(p.isolation.waiting, j)
			placed += s.placeJob(j, p, now)
		}
	}
	return placed
}

// selectForIsolation returns the index of the server on which a task is isolated, or -1. It prefers servers that didn't crash
// under the task, as a fault of a single server would be taken for one of the task, and then those with the fewest runs.
func (p *placementPool) selectForIsolation(t *task, now time.Time) int {
	if !p.isolation.unlimited && p.isolation.count >= p.maxIsolated() {
		return -1
	}
	best := -1
	for i, v := range p.servers {
		waits := (len(v.attempts) > 0 || t.failedOnServer(v.id)) && now.Sub(t.lostAt) < isolationWait
		if waits || !v.runsSurvivedStart() {
			continue
		}
		if best >= 0 && !t.prefersForIsolation(v, p.servers[best]) {
			continue
		}
		if view := p.isolationView(i); schedule.Fits(t.step.spec, &view) {
			best = i
		}
	}
	return best
}

// prefersForIsolation reports whether the task is rather isolated on server v than on the other one.
func (t *task) prefersForIsolation(v, other *server) bool {
	if failed := t.failedOnServer(v.id); failed != t.failedOnServer(other.id) {
		return !failed
	}
	return len(v.attempts) < len(other.attempts)
}

// isolateServer keeps the runs of other jobs from a server for the rest of the pass.
func (s *State) isolateServer(j *job, p *placementPool, i int) {
	p.views[i].Free = workload.Resources{}
	delete(p.isolation.reserved, i)
	p.isolation.add(j, p.servers[i])
}

func (s *State) assignIsolated(t *task, v *server, run int, now time.Time) {
	a := s.assignTo(t, v, run, now)
	a.isolated = true
	v.isolatedRuns++
	klog.InfoS("Run isolated after crashes", "run", a.id(), "server", v.id, "crashes", t.record.Crashes,
		"unresolved", len(t.record.Losses), "shared-with", len(v.attempts)-v.isolatedRuns)
}

// endIsolation lets the server of a run that has survived its start run other jobs.
func (s *State) endIsolation(a *attempt) {
	if !a.isolated || !a.survived || schedule.IsIsolatedThroughout(a.task.crashes()) {
		return
	}
	a.isolated = false
	a.server.isolatedRuns--
	s.dirtyPools[a.server.reg.Pool] = true
}

// restoreIsolation isolates the runs that an earlier controller isolated, unless it has ended the isolation: other jobs'
// runs may be starting on the server then.
func (s *State) restoreIsolation() {
	for _, v := range s.servers {
		j := v.onlyJob()
		for _, a := range v.attempts {
			switch {
			case !a.isolated:
			case j == nil:
				a.isolated = false
			default:
				v.isolatedRuns++
			}
		}
	}
}

// onlyJob returns the job to which all runs on the server belong, or nil.
func (v *server) onlyJob() *job {
	var j *job
	for _, a := range v.attempts {
		if j != nil && a.task.job != j {
			return nil
		}
		j = a.task.job
	}
	return j
}

// isolatedJob returns the job of the isolated runs on the server, or nil.
func (v *server) isolatedJob() *job {
	if v.isolatedRuns == 0 {
		return nil
	}
	for _, a := range v.attempts {
		if a.isolated {
			return a.task.job
		}
	}
	return nil
}

// runsSurvivedStart reports whether the server has reported all of its runs, and none is isolated.
func (v *server) runsSurvivedStart() bool {
	for _, a := range v.attempts {
		if !a.reported || a.isolated {
			return false
		}
	}
	return true
}

// runsOf returns the number of runs of a step on the server, with those that its next incarnation may start late.
func (v *server) runsOf(st *step) int {
	n := 0
	for _, l := range v.lateStarts {
		if l.task.step == st {
			n++
		}
	}
	for _, a := range v.attempts {
		if a.task.step == st {
			n++
		}
	}
	return n
}

// crashes returns what is known of the crashes under the task.
func (t *task) crashes() schedule.Crashes {
	c := schedule.Crashes{
		LongRunning: t.step.spec.LongRunning(),
		Confirmed:   t.record.Crashes, Certain: t.record.CertainCrashes, Isolated: t.record.IsolatedCrashes,
		Unresolved: len(t.record.Losses), AtStart: t.record.CrashedAtStart,
		Expected: t.record.ExpectedCrashes,
	}
	for _, l := range t.record.Losses {
		c.AtStart = c.AtStart || l.AtStart
	}
	return c
}

// awaitsCause reports whether the task isn't started yet because it isn't known whether servers crashed under it.
func (t *task) awaitsCause(now time.Time) bool {
	if len(t.record.Losses) == 0 {
		return false
	}
	switch schedule.AwaitsCause(t.crashes()) {
	case schedule.NoWait:
		return false
	case schedule.BoundedWait:
		return now.Sub(t.lostAt) < maxCauseWait
	case schedule.UnboundedWait:
	}
	return true
}

// needsIsolation reports whether the next run of a task has to be isolated.
func (s *State) needsIsolation(t *task, now time.Time) bool {
	return schedule.NeedsIsolation(t.crashes(), now.Before(s.crashAlertUntil))
}

// gangNeedsIsolation reports whether a gang has to be isolated because of one of its tasks.
func (s *State) gangNeedsIsolation(st *step, now time.Time) bool {
	for _, t := range st.tasks {
		if s.needsIsolation(t, now) {
			return true
		}
	}
	return false
}

// lostAt returns when a server was last lost under a task of the step.
func (st *step) lostAt() time.Time {
	var last time.Time
	for _, t := range st.tasks {
		if t.lostAt.After(last) {
			last = t.lostAt
		}
	}
	return last
}
