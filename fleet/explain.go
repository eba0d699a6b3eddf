package fleet

import (
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/explanation"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maxExplainedTasks bounds the tasks of a step for which an explanation looks for servers.
const maxExplainedTasks = 64

// Exclusion is why a server doesn't start a task of a step now.
type Exclusion string

// Exclusions.
const (
	ExclusionNone         Exclusion = ""
	ExclusionOtherPool    Exclusion = "other-pool"
	ExclusionLabel        Exclusion = "label"
	ExclusionZone         Exclusion = "zone-evacuated"
	ExclusionMaintenance  Exclusion = "maintenance"
	ExclusionLeavesPool   Exclusion = "moves-to-other-pool"
	ExclusionUnresponsive Exclusion = "not-confirmed"
	ExclusionCooldown     Exclusion = "failures"
	ExclusionIsolatedRun  Exclusion = "isolated-run"
	ExclusionForIsolation Exclusion = "kept-for-isolated-runs"
	ExclusionTooSmall     Exclusion = "too-small"
	ExclusionNotFree      Exclusion = "no-free-capacity"
	ExclusionPerServer    Exclusion = "runs-per-server"
	ExclusionTicket       Exclusion = "ticket"
	ExclusionLimit        Exclusion = "customer-limit"
)

// Explanation is what would become of a job that arrived now.
type Explanation struct {
	Pool     string
	Customer string
	// Outlook is what the job can still meet if nothing delays it.
	Outlook schedule.JobOutlook
	// BeyondWeight says that it exceeds its customer's weight.
	BeyondWeight bool
	// Pending is the number of the pool's jobs with tasks that wait for a server, Ahead the number of these that go first.
	// CustomerPending and CustomerAhead are those of the job's customer.
	Pending, Ahead                 int
	CustomerPending, CustomerAhead int
	// Steps are the steps that don't depend on others.
	Steps []StepExplanation
	// StartsAfter is the expected time until the first task starts, Confidence how sure that is.
	StartsAfter time.Duration
	Confidence  explanation.Confidence
}

// StepExplanation is what would become of a step of a job.
type StepExplanation struct {
	Step, Tasks int
	// Startable is the number of tasks that fit on servers now, up to maxExplainedTasks. Those of a gang start together or not at all.
	Startable int
	// NeedsTicket says that a server needs a ticket of the recommendation service, which is called once the job has arrived.
	NeedsTicket bool
	// Servers are all known servers, grouped by why they don't start a task now, those that may start one first.
	Servers []explanation.Group
}

// explain returns what would become of a job that arrived now. It calls the functions that decide, for a job that isn't added.
func (s *State) explain(spec *workload.Job, now time.Time) Explanation {
	j := newJob(spec)
	j.createDueOccurrences(now)
	if j.occurrences == 0 {
		j.createOccurrence(0) // that of a scheduled job which isn't due yet
		j.occurrences = 1
	}
	if e := s.entitlementFor(j, now); e != nil {
		bucket := *e
		j.beyondWeight = !bucket.take(s.weightOf(j), now)
	}
	name := s.poolOf(j)
	e := Explanation{
		Pool: name, Customer: spec.Customer(), BeyondWeight: j.beyondWeight,
		Outlook: schedule.Outlook(j.submitted, j.objective, spec.CriticalPath(), now),
	}
	p := &placementPool{isolation: newIsolation()}
	for _, v := range s.allServers() {
		if v.reg.Pool == name && s.acceptsPlacement(v, now) {
			p.addInService(v)
		}
	}
	p.reserveServers(s.isolatedServers[name]-p.isolation.count, s.isolationWaiting[name])
	s.countAhead(&e, j, p, now)
	for number := range spec.Steps() {
		if st := j.steps[[2]int{0, number}]; j.dependenciesDone(0, st) {
			e.Steps = append(e.Steps, s.explainStep(st, p, name, now))
		}
	}
	s.expectStart(&e, j, now)
	return e
}

// expectStart sets when the first task is expected to start.
func (s *State) expectStart(e *Explanation, j *job, now time.Time) {
	if slices.ContainsFunc(e.Steps, func(st StepExplanation) bool { return st.Startable > 0 }) {
		e.Confidence = explanation.ConfidenceHigh
		if e.Ahead > 0 {
			e.Confidence = explanation.ConfidenceMedium
		}
		return
	}
	e.Confidence = explanation.ConfidenceNone
	if w, known := s.waits[e.Pool]; known {
		if wait, _ := w.For(j.spec, now.Sub(s.forecastAt)); wait > 0 {
			e.StartsAfter, e.Confidence = wait, explanation.ConfidenceLow
		}
	}
}

// countAhead counts the jobs of the pool that wait, and those of them that go before a job.
func (s *State) countAhead(e *Explanation, j *job, p *placementPool, now time.Time) {
	capacity := s.serverCapacity(e.Pool)
	candidates := []schedule.Candidate{s.candidate(j, capacity, now)}
	waiting := make(map[string]bool)
	for _, other := range s.jobs {
		if s.mayPlace(other, now) && s.poolOf(other) == e.Pool && other.spec.ID() != j.spec.ID() {
			candidates = append(candidates, s.candidate(other, capacity, now))
			waiting[other.spec.ID()] = other.waits()
		}
	}
	schedule.SortCandidates(candidates, schedule.Capacity{Servers: p.workRate(), Joining: s.joiningServers(e.Pool)}, now)
	passed := false
	for i := range candidates {
		c := &candidates[i]
		if c.ID == j.spec.ID() {
			passed = true
			continue
		}
		if !waiting[c.ID] {
			continue
		}
		e.Pending++
		if c.Customer == e.Customer {
			e.CustomerPending++
		}
		if !passed {
			e.Ahead++
		}
		if !passed && c.Customer == e.Customer {
			e.CustomerAhead++
		}
	}
}

// waits reports whether a task of the job waits for a server.
func (j *job) waits() bool {
	for key, st := range j.steps {
		if st.unassigned > st.givenUp && j.dependenciesDone(key[0], st) {
			return true
		}
	}
	return false
}

// explainStep explains a step of a job that isn't added, whose tasks may start.
func (s *State) explainStep(st *step, p *placementPool, pool string, now time.Time) StepExplanation {
	e := StepExplanation{Step: st.number, Tasks: len(st.tasks)}
	p.countStepRuns(st)
	e.NeedsTicket = s.excludeWithoutTicket(st, p, now) != nil
	index := make(map[*server]int, len(p.servers))
	for i, v := range p.servers {
		index[v] = i
	}
	byReason := make(map[string][]string)
	for _, v := range s.allServers() {
		x := s.exclusionOf(v, pool, now)
		if i, inService := index[v]; inService {
			x = p.exclusionOf(i, st.spec)
		}
		if x == ExclusionNone && !s.withinLimit(st.tasks[0], 1) {
			x = ExclusionLimit
		}
		byReason[string(x)] = append(byReason[string(x)], v.id)
	}
	e.Servers = explanation.Groups(byReason)
	for i := range p.views {
		p.views[i].Excluded = false // tickets are requested once the job has arrived
	}
	e.Startable = s.startableTasks(st, p)
	return e
}

// startableTasks returns how many tasks of a step fit on servers now and within the limit of the customer.
func (s *State) startableTasks(st *step, p *placementPool) int {
	unchanged := p.views
	defer func() { p.views = unchanged }()
	if st.spec.Gang() {
		if s.withinLimit(st.tasks[0], int64(len(st.tasks))) && p.selectForGang(st, false) != nil {
			return len(st.tasks)
		}
		return 0
	}
	p.views = slices.Clone(p.views)
	n := 0
	for ; n < min(len(st.tasks), maxExplainedTasks) && s.withinLimit(st.tasks[0], int64(n+1)); n++ {
		i := schedule.SelectServer(st.spec, p.views)
		if i < 0 {
			break
		}
		p.views[i].Free = p.views[i].Free.Minus(st.spec.Reserves())
		p.countRun(i, st)
	}
	return n
}

// exclusionOf returns why server i of a pool in service doesn't start a task of a step now.
func (p *placementPool) exclusionOf(i int, spec workload.Step) Exclusion {
	view := p.views[i]
	view.Excluded = false
	switch schedule.ObstacleOf(spec, &view) {
	case schedule.TooSmall:
		return ExclusionTooSmall
	case schedule.TooManyRuns:
		return ExclusionPerServer
	case schedule.WrongLabel:
		return ExclusionLabel
	case schedule.NotFree:
		if isolated := p.isolationView(i); isolated.Free != view.Free {
			return ExclusionForIsolation
		}
		return ExclusionNotFree
	case schedule.NoObstacle, schedule.Excluded:
	}
	if p.views[i].Excluded {
		return ExclusionTicket
	}
	return ExclusionNone
}

// exclusionOf returns why no run of another job may be placed on a server that isn't in service for a pool.
func (s *State) exclusionOf(v *server, pool string, now time.Time) Exclusion {
	_, requested := s.inheritedRequests[v.reg.VM]
	switch {
	case v.reg.Pool != pool:
		return ExclusionOtherPool
	case s.acceptsPlacement(v, now):
		return ExclusionIsolatedRun
	case s.evacuatedZones[v.reg.Zone]:
		return ExclusionZone
	case requested || v.cordoned || v.retired || v.reg.Draining:
		return ExclusionMaintenance
	case v.releasing:
		return ExclusionLeavesPool
	case now.Before(v.cooldownUntil):
		return ExclusionCooldown
	}
	return ExclusionUnresponsive
}
