package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// forecastInterval is the time between two forecasts: the term row holds a new one with each renewal.
	forecastInterval = renewInterval
	// maxForecastDelay is the age from which on a forecast isn't stored: none is made while the leader is about to resign.
	maxForecastDelay = 2 * forecastInterval
	// maxForecastPools bounds the pools in the term row, which all entry VMs read several times a second. A pool takes at most
	// 24 steps of some 20 bytes.
	maxForecastPools = 64
)

// Wait is the least time that new jobs of a pool wait, as the term row holds it. Each step gives the latest start in
// milliseconds, the work in thousandths of a core times seconds, or in MB times seconds, and the wait in milliseconds.
type Wait struct {
	// Memory says that work is in MB times seconds.
	Memory bool `json:"memory,omitempty"`
	// Priority is the priority of the least urgent jobs ahead.
	Priority int `json:"priority,omitempty"`
	// Customers are those whose jobs wait, or nil if those of all do.
	Customers []string   `json:"customers,omitempty"`
	OnTime    [][3]int64 `json:"on-time"`
	Late      [][3]int64 `json:"late"`
}

func newWait(f schedule.Forecast, r resource) Wait {
	w := Wait{Memory: r == memory, Priority: f.Priority, Customers: f.Customers}
	for _, s := range f.OnTime {
		w.OnTime = append(w.OnTime, encodeWaitStep(s))
	}
	for _, s := range f.Late {
		w.Late = append(w.Late, encodeWaitStep(s))
	}
	return w
}

// encodeWaitStep rounds a step so that it holds for no more jobs, and tells no longer wait.
func encodeWaitStep(s schedule.WaitStep) [3]int64 {
	return [3]int64{(s.LatestStart + time.Millisecond - 1).Milliseconds(), int64(s.Work) + 1, s.Wait.Milliseconds()}
}

// For returns the least time that a new job waits, age after the forecast, and whether it would then end after its hard deadline. The
// servers with a label that it requires may be idle while those of its pool are busy.
func (w Wait) For(j *workload.Job, age time.Duration) (wait time.Duration, late bool) {
	if j.Scheduled() || j.LongRunning() || j.RequiresLabel() || j.Objective() <= 0 || j.Priority() < w.Priority ||
		(len(w.Customers) > 0 && !slices.Contains(w.Customers, j.Customer())) {
		return 0, false
	}
	r := processor
	if w.Memory {
		r = memory
	}
	work := r.workOf(j)
	if _, late := leastWait(w.OnTime, j.Objective()-j.CriticalPath(), work, age); !late {
		return 0, false
	}
	return leastWait(w.Late, schedule.HardDeadline(j.Objective())-j.CriticalPath(), work, age)
}

// leastWait returns the longest wait by the steps that hold for a job, and whether it is longer than until the latest start.
func leastWait(steps [][3]int64, latestStart time.Duration, work float64, age time.Duration) (wait time.Duration, late bool) {
	for _, s := range steps {
		if latestStart+age >= time.Duration(s[0])*time.Millisecond && work >= float64(s[1]) {
			wait = max(wait, time.Duration(s[2])*time.Millisecond-age)
		}
	}
	return wait, wait > latestStart
}

// resource is the resource of which a pool lacks most.
type resource int

const (
	processor resource = iota
	memory
)

// of returns an amount in thousandths of a core, or in MB.
func (r resource) of(amount workload.Resources) float64 {
	if r == memory {
		return float64(amount.MemoryMB())
	}
	return float64(amount.MilliCores())
}

// workOf returns the work of a new job.
func (r resource) workOf(j *workload.Job) float64 {
	total := 0.0
	for _, st := range j.Steps() {
		total += float64(st.Count()) * r.of(st.Reserves()) * st.DeclaredDuration().Seconds()
	}
	return total
}

// Waits returns the waits of the next renewal of the term by pool, and when they were computed.
func (s *State) Waits() (waits map[string]Wait, at time.Time) { return s.waits, s.forecastAt }

// updateForecast computes the least waits of new jobs. A new leader tells none until it has read all jobs: it doesn't know yet which
// of them were cancelled, or have ended.
func (s *State) updateForecast(pools []schedule.Pool, now time.Time) {
	if now.Sub(s.forecastAt) < forecastInterval {
		return
	}
	s.forecastAt = now
	before := s.waits
	s.waits = nil
	if s.jobsRead && len(s.unreadCancels) == 0 && hasPendingWork(pools) {
		s.waits = s.forecast(pools, now)
	}
	s.logWaits(before)
}

// hasPendingWork reports whether a pool has more work in time than servers. Otherwise no job waits.
func hasPendingWork(pools []schedule.Pool) bool {
	return slices.ContainsFunc(pools, func(p schedule.Pool) bool { return p.Load+p.LateLoad > float64(len(p.Servers)) })
}

func (s *State) logWaits(before map[string]Wait) {
	for pool, w := range s.waits {
		if _, known := before[pool]; !known {
			klog.InfoS("New jobs of a pool wait", "pool", pool, "waits", w)
		}
	}
	for pool := range before {
		if _, waits := s.waits[pool]; !waits {
			klog.InfoS("New jobs of a pool no longer wait", "pool", pool)
		}
	}
}

// forecast returns the waits by pool, each by the resource with the longer one: what needs both waits for both.
func (s *State) forecast(pools []schedule.Pool, now time.Time) map[string]Wait {
	longest := make(map[string]time.Duration)
	waits := make(map[string]Wait)
	for _, r := range []resource{processor, memory} {
		for _, f := range schedule.ForecastWaits(s.backlogs(pools, r, now), now) {
			if wait := f.LongestWait(); wait > longest[f.Pool] {
				longest[f.Pool], waits[f.Pool] = wait, newWait(f, r)
			}
		}
	}
	names := slices.SortedFunc(maps.Keys(waits), func(a, b string) int {
		return cmp.Or(cmp.Compare(longest[b], longest[a]), cmp.Compare(a, b))
	})
	for _, name := range names[min(maxForecastPools, len(names)):] {
		delete(waits, name)
	}
	return waits
}

// backlogs returns the capacity and the work of all pools in one resource.
func (s *State) backlogs(pools []schedule.Pool, r resource, now time.Time) []schedule.Backlog {
	byName := make(map[string]*schedule.Backlog, len(pools))
	backlogs := make([]schedule.Backlog, len(pools))
	for i := range pools {
		backlogs[i].Pool = pools[i].Name
		byName[pools[i].Name] = &backlogs[i]
	}
	// All listed VMs count, as one that is away may be back before a job has waited for long.
	var largest workload.Resources
	for name, vm := range s.vms {
		pool := vm.Pool
		if m, moving := s.moves[name]; moving {
			pool = m.pool
		}
		b, known := byName[pool]
		if !known || s.evacuatedZones[vm.Zone] {
			continue
		}
		b.Capacity += r.of(vm.Capacity)
		if v, registered := s.servers[vm.Server]; registered {
			b.Capacity -= r.of(v.longRunningReserved())
		}
		largest = largestOf(largest, vm.Capacity)
	}
	usage := make(customerWork)
	for _, j := range s.jobsByDeadline() {
		b, known := byName[s.poolOf(j)]
		if !known || s.recommendation(j) != nil || now.Before(j.heldUntil) || j.beyondWeight {
			continue
		}
		c := s.candidate(j, s.serverCapacity(b.Pool), now)
		c.Work = j.workAhead(r, largest, now)
		if c.Work > 0 && s.withinCustomerLimit(j, c.Work, r, usage, now) {
			b.Jobs = append(b.Jobs, c)
		}
	}
	return backlogs
}

func largestOf(a, b workload.Resources) workload.Resources {
	return workload.NewResources(
		max(a.MilliCores(), b.MilliCores()), max(a.MemoryMB(), b.MemoryMB()), max(a.Accelerators(), b.Accelerators()))
}

// jobsByDeadline returns the jobs that a new job may wait behind, by their hard deadline.
func (s *State) jobsByDeadline() []*job {
	var jobs []*job
	for _, j := range s.jobs {
		if !j.longRunning && !j.spec.Scheduled() && !j.state.Final() && j.objective > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.hardDeadline().Compare(b.hardDeadline()) })
	return jobs
}

func (j *job) hardDeadline() time.Time { return j.submitted.Add(schedule.HardDeadline(j.objective)) }

// workAhead returns the work of a job that new jobs certainly wait behind: what is left of its runs and pending tasks by their
// declared durations, without steps that other jobs don't wait for, as these need certain servers or fit on none.
func (j *job) workAhead(r resource, largest workload.Resources, now time.Time) float64 {
	total := 0.0
	for _, occurrence := range j.open {
		for number := range j.spec.Steps() {
			st := j.steps[[2]int{occurrence, number}]
			if st.remaining == 0 || st.spec.Constrained() || st.spec.BestEffort() || !st.spec.Reserves().FitsIn(largest) {
				continue
			}
			declared := st.spec.DeclaredDuration()
			left := time.Duration(st.remaining-st.givenUp) * declared
			if st.unassigned < st.remaining {
				for _, t := range st.tasks {
					if len(t.attempts) > 0 && !t.record.Done {
						left -= min(max(now.Sub(t.attempts[0].startedAt), 0), declared)
					}
				}
			}
			total += left.Seconds() * r.of(st.spec.Reserves())
		}
	}
	return total
}

// customerWork is the work of customers with limits that was taken into account.
type customerWork map[string]float64

// withinCustomerLimit adds the work of a job to that of its customer, and reports whether the customer's limit lets it be done until
// the job's hard deadline. Other jobs don't wait for work that waits for its customer's limit.
func (s *State) withinCustomerLimit(j *job, work float64, r resource, usage customerWork, now time.Time) bool {
	c, known := s.directory.Customer(j.spec.Customer())
	if !known {
		return true
	}
	limit := r.of(c.Limit)
	if limit == 0 && (c.Limit == workload.Resources{}) {
		return true
	}
	if limit == 0 {
		return false // the other resource limits it
	}
	name := j.spec.Customer()
	if usage[name]+work > limit*j.hardDeadline().Sub(now).Seconds() {
		return false
	}
	usage[name] += work
	return true
}
