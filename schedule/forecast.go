package schedule

import (
	"cmp"
	"slices"
	"time"
)

// minForecastWait is the shortest wait that a forecast tells. Shorter ones come and go with each burst.
const minForecastWait = time.Second

// forecastShares are the shares of the work ahead at which a forecast has a step.
var forecastShares = []float64{0.3, 0.5, 0.7, 0.85, 0.95, 1}

const (
	// workShare is the share of the work ahead for whose jobs, the smallest ones, a second step is added: the largest job would
	// otherwise decide alone for which jobs a step holds.
	workShare = 0.9
	// sizeShare times the size of the largest job ahead is the size from which on a new job counts as large. It is below 1 as more
	// small jobs arrive while the job waits. At three times the demand that the fleet can serve, 0.35 would have refused 1 to 4 jobs
	// that met their objective, 0.5 none.
	sizeShare = 0.5
	// heaviestShare times the largest share of a customer, in selected work for its weight, is the share from which on a new job of
	// the customer is dropped before those of others. It is below 1 as a new job of a customer may be small.
	heaviestShare = 0.8
	// maxHeaviestCustomers bounds the names in a forecast.
	maxHeaviestCustomers = 16
)

// Backlog is the state of a pool that its forecast is made from. Capacity and work are in one resource, such as cores and
// core-seconds.
type Backlog struct {
	Pool string
	// Capacity is what the pool has without the other pools: its servers, those that are joining it and those that are away for
	// a short time. What long-running tasks take is left out.
	Capacity float64
	// Jobs are the jobs whose running and pending work a new job may wait behind, without long-running ones. Jobs that can't meet
	// their hard deadline any more are ignored, as a new job goes before them.
	Jobs []Candidate
}

// Forecast is the least time that a new job of a pool waits. It is a step function, as SortCandidates prefers short and urgent
// jobs: a single number that holds for the largest jobs would refuse small ones that can be in time.
type Forecast struct {
	Pool string
	// Priority is the priority of the least urgent jobs that were taken into account. The forecast says nothing about jobs of a
	// more urgent priority.
	Priority int
	// Customers are those with the most pending work for their weight, or nil if none has a weight. The forecast says nothing about
	// jobs of others, as SortCandidates drops theirs last.
	Customers []string
	// OnTime are the steps for jobs that are to meet their objective, Late those for jobs that are to meet their hard deadline. A
	// job can be useful unless both keep it from starting in time.
	OnTime, Late []WaitStep
}

// WaitStep says that a job with at least so much work, and which may start LatestStart after the forecast or later, starts no
// earlier than Wait after the forecast.
type WaitStep struct {
	LatestStart time.Duration
	Work        float64
	Wait        time.Duration
}

// isCoveredBy reports whether another step says as much for the same jobs.
func (w WaitStep) isCoveredBy(o WaitStep) bool {
	return o.LatestStart <= w.LatestStart && o.Work <= w.Work && o.Wait >= w.Wait
}

// LongestWait returns the longest wait of any job.
func (f *Forecast) LongestWait() time.Duration {
	longest := time.Duration(0)
	for _, s := range f.Late {
		longest = max(longest, s.Wait)
	}
	return longest
}

// HardDeadline returns the time after its submission from which on a job with the objective has no benefit.
func HardDeadline(objective time.Duration) time.Duration { return hardDeadlineFactor * objective }

// ForecastWaits returns the forecasts of the pools in which the largest jobs wait for minForecastWait or longer, and too long to
// meet their hard deadline.
//
// It is called with the most that each pool may get, and selects jobs as SortCandidates does: those that can meet their
// objective together, and then those that can meet their hard deadline. A new job with as much work as the ones that are selected
// before it, and a later deadline, would be dropped. Jobs that arrive later aren't taken into account. As the selected work is
// done at most at the rate of the capacity, the forecast stays a lower bound when time passes, if that is subtracted.
func ForecastWaits(pools []Backlog, now time.Time) []Forecast {
	onTimeWork := make([]float64, len(pools))
	for i := range pools {
		for j := range pools[i].Jobs {
			if c := &pools[i].Jobs[j]; Outlook(c.Submitted, c.Objective, c.Remaining, now) == OnTime {
				onTimeWork[i] += c.Work
			}
		}
	}
	var forecasts []Forecast
	for i := range pools {
		s := newSupply(pools, i, onTimeWork)
		if f := forecastPool(&pools[i], s, now); len(f.OnTime) > 0 && len(f.Late) > 0 && f.LongestWait() >= minForecastWait {
			forecasts = append(forecasts, f)
		}
	}
	return forecasts
}

func forecastPool(p *Backlog, s supply, now time.Time) Forecast {
	f := Forecast{Pool: p.Pool}
	total := 0.0
	var jobs []Candidate
	for _, c := range p.Jobs {
		if Outlook(c.Submitted, c.Objective, c.Remaining, now) != Expired {
			c.class = classUnselected
			jobs = append(jobs, c)
			total += c.Work
		}
	}
	if s.timeFor(total) < minForecastWait {
		return f
	}
	onTime := selectJobs(jobs, classOnTime, 1, 0, s, now)
	late := selectJobs(jobs, classLate, hardDeadlineFactor, workOf(onTime), s, now)
	for _, c := range append(slices.Clone(onTime), late...) {
		f.Priority = max(f.Priority, c.Priority)
	}
	f.Customers = heaviestCustomers(append(slices.Clone(onTime), late...))
	f.OnTime = waitSteps(onTime, 1, 0, s, now)
	f.Late = waitSteps(late, hardDeadlineFactor, workOf(onTime), s, now)
	return f
}

// selectJobs selects as many unselected jobs as can end together within factor times their objective, like selectFeasible, but by
// the supply. Used is the work that goes before them.
func selectJobs(jobs []Candidate, to priorityClass, factor int, used float64, s supply, now time.Time) []*Candidate {
	var feasible []*Candidate
	for i := range jobs {
		c := &jobs[i]
		c.latestStart = c.Submitted.Add(time.Duration(factor)*c.Objective - c.Remaining)
		if c.class == classUnselected && !now.After(c.latestStart) {
			feasible = append(feasible, c)
		}
	}
	slices.SortFunc(feasible, func(a, b *Candidate) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.latestStart.Compare(b.latestStart))
	})
	var kept selection
	for _, c := range feasible {
		c.class = to
		used += c.Work
		kept.add(c)
		available := s.until(c.latestStart.Add(c.Remaining).Sub(now))
		for used > available {
			dropped := kept.drop()
			if dropped == nil {
				break
			}
			dropped.class = classUnselected
			used -= dropped.Work
		}
	}
	return slices.DeleteFunc(feasible, func(c *Candidate) bool { return c.class != to })
}

// heaviestCustomers returns the customers with the most selected work for their weight, whose new jobs are dropped before those of
// the others, or nil if the jobs have no weights.
func heaviestCustomers(selected []*Candidate) []string {
	shares := make(map[string]float64)
	most := 0.0
	for _, c := range selected {
		if c.Weight > 0 {
			shares[c.Customer] += c.Work / c.Weight
			most = max(most, shares[c.Customer])
		}
	}
	var customers []string
	for name, share := range shares {
		if share >= heaviestShare*most {
			customers = append(customers, name)
		}
	}
	slices.SortFunc(customers, func(a, b string) int { return cmp.Or(cmp.Compare(shares[b], shares[a]), cmp.Compare(a, b)) })
	return customers[:min(len(customers), maxHeaviestCustomers)]
}

func workOf(jobs []*Candidate) float64 {
	total := 0.0
	for _, c := range jobs {
		total += c.Work
	}
	return total
}

// waitSteps returns the steps of a forecast by the selected jobs. Used is the work that goes before all of them. Steps that can't
// keep any job from starting in time are left out.
func waitSteps(jobs []*Candidate, factor int, used float64, s supply, now time.Time) []WaitStep {
	latestStart := func(c *Candidate) time.Duration {
		return c.Submitted.Add(time.Duration(factor)*c.Objective - c.Remaining).Sub(now)
	}
	slices.SortFunc(jobs, func(a, b *Candidate) int { return cmp.Compare(latestStart(a), latestStart(b)) })
	total := workOf(jobs)
	var steps []WaitStep
	ahead, next := 0.0, 0
	for i, c := range jobs {
		ahead += c.Work
		if last := i == len(jobs)-1; !last && ahead < forecastShares[next]*total {
			continue
		}
		for next < len(forecastShares)-1 && ahead >= forecastShares[next]*total {
			next++
		}
		for _, step := range stepsOfPrefix(jobs[:i+1], ahead, used, s) {
			step.LatestStart = max(latestStart(c), 0)
			if step.Wait > step.LatestStart && !slices.ContainsFunc(steps, step.isCoveredBy) {
				covered := func(o WaitStep) bool { return o.isCoveredBy(step) }
				steps = append(slices.DeleteFunc(steps, covered), step)
			}
		}
	}
	return steps
}

// stepsOfPrefix returns the waits behind the given jobs, for new jobs that are at least as large as all of them, and for smaller
// ones.
func stepsOfPrefix(jobs []*Candidate, ahead, used float64, s supply) []WaitStep {
	works := make([]float64, 0, len(jobs))
	for _, c := range jobs {
		works = append(works, c.Work)
	}
	slices.Sort(works)
	small := 0.0
	for _, w := range works {
		small += w
		if small >= workShare*ahead {
			return []WaitStep{
				{Work: sizeShare * works[len(works)-1], Wait: s.timeFor(used + ahead)},
				{Work: sizeShare * w, Wait: s.timeFor(used + small)},
			}
		}
	}
	return nil
}

// supply is the work that a pool can get done: by its own capacity, and by what the other pools have beyond their work that is
// still in time. These first do that work, so that they are available to the pool from some time on.
type supply struct {
	own    float64
	others []laterCapacity // in ascending order of time
}

type laterCapacity struct {
	capacity float64
	from     float64 // in seconds
}

func newSupply(pools []Backlog, pool int, onTimeWork []float64) supply {
	s := supply{own: pools[pool].Capacity}
	for i := range pools {
		if c := pools[i].Capacity; i != pool && c > 0 {
			s.others = append(s.others, laterCapacity{capacity: c, from: onTimeWork[i] / c})
		}
	}
	slices.SortFunc(s.others, func(a, b laterCapacity) int { return cmp.Compare(a.from, b.from) })
	return s
}

// until returns the work that can be done within d.
func (s supply) until(d time.Duration) float64 {
	work := s.own * d.Seconds()
	for _, o := range s.others {
		work += max(d.Seconds()-o.from, 0) * o.capacity
	}
	return work
}

// timeFor returns the time in which work can be done, or 0 if there is no capacity: then nothing is known.
func (s supply) timeFor(work float64) time.Duration {
	at, done, capacity := 0.0, 0.0, s.own
	for _, o := range s.others {
		if done+capacity*(o.from-at) >= work {
			break
		}
		done += capacity * (o.from - at)
		at = o.from
		capacity += o.capacity
	}
	if capacity <= 0 {
		return 0
	}
	return time.Duration((at + (work-done)/capacity) * float64(time.Second))
}
