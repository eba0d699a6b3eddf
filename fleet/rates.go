package fleet

import (
	"math"
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

// rateTimeConstant is the time constant of the exponential average: short enough to show a burst within half a second,
// long enough that a single job doesn't look like one.
const rateTimeConstant = 500 * time.Millisecond

// workRate is the exponentially averaged rate at which work of a pool arrives or is finished. Its unit is
// servers: work at a rate of 1 keeps one server busy.
type workRate struct {
	value float64
	at    time.Time
}

func (r *workRate) add(work float64, now time.Time) {
	r.value = r.rate(now) + work/rateTimeConstant.Seconds()
	r.at = now
}

func (r *workRate) rate(now time.Time) float64 {
	if r == nil {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}

// workRates are rates by pool.
type workRates map[string]*workRate

func (r workRates) add(pool string, work float64, now time.Time) {
	if r[pool] == nil {
		r[pool] = &workRate{}
	}
	r[pool].add(work, now)
}

// maxArrivalAge is the age up to which a job counts as newly arrived. Older jobs were accepted under an earlier
// controller.
const maxArrivalAge = 2 * time.Second

// recordArrival adds the work of a new job to the arrival rate of its pool.
func (s *State) recordArrival(j *job, now time.Time) {
	if j.spec.LongRunning() || j.spec.Scheduled() || now.Sub(j.spec.Accepted()) > maxArrivalAge {
		return
	}
	pool := s.poolOf(j)
	s.arrivals.add(pool, j.remainingWork(s.serverCapacity(pool)), now)
}

// recordDeparture adds the work of a task that is done to the departure rate of its pool.
func (s *State) recordDeparture(t *task) {
	if t.job.spec.LongRunning() || t.job.spec.Scheduled() {
		return
	}
	pool := s.poolOf(t.job)
	s.departures.add(pool, t.step.taskWork(s.serverCapacity(pool)), s.now)
}

// recordEarlyEnd adds the remaining work of a job that ends early to the departure rate of its pool.
func (s *State) recordEarlyEnd(j *job) {
	if j.spec.LongRunning() || j.spec.Scheduled() {
		return
	}
	pool := s.poolOf(j)
	s.departures.add(pool, j.remainingWork(s.serverCapacity(pool)), s.now)
}

// serverCapacity returns the capacity of the server of a pool that last registered and reported. While none has reported, it is
// that of the first that registered, or zero.
func (s *State) serverCapacity(pool string) workload.Resources { return s.poolCapacity[pool] }

// remainingWork returns the declared work that is left of a job, in server-seconds for servers of the given capacity.
func (j *job) remainingWork(capacity workload.Resources) float64 {
	total := 0.0
	for _, occurrence := range j.open {
		for number := range j.spec.Steps() {
			st := j.steps[[2]int{occurrence, number}]
			total += float64(st.remaining) * st.taskWork(capacity)
		}
	}
	return total
}

// taskWork returns the declared work of one task, in server-seconds for servers of the given capacity.
func (st *step) taskWork(capacity workload.Resources) float64 {
	return st.spec.Reserves().DominantShare(capacity) * st.spec.DeclaredDuration().Seconds()
}
