package fleet

import (
	"math"
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

// rateMemory is the time constant of rates of work: a burst shows within half a second, and single jobs don't look like
// one.
const rateMemory = 500 * time.Millisecond

// workRate is the rate at which work of a pool arrives or is done, in servers: seconds of work of a whole server a second.
type workRate struct {
	value float64
	at    time.Time
}

func (r *workRate) add(work float64, now time.Time) {
	r.value = r.rate(now) + work/rateMemory.Seconds()
	r.at = now
}

func (r *workRate) rate(now time.Time) float64 {
	if r == nil {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateMemory.Seconds())
}

// workRates are rates by pool.
type workRates map[string]*workRate

func (r workRates) add(pool string, work float64, now time.Time) {
	if r[pool] == nil {
		r[pool] = &workRate{}
	}
	r[pool].add(work, now)
}

// freshJob is how old a job may be that counts as just arrived: older ones were accepted under an earlier controller.
const freshJob = 2 * time.Second

// arrived counts a new job towards the arrivals of its pool.
func (s *State) arrived(j *job, now time.Time) {
	if j.spec.LongRunning() || j.spec.Scheduled() || now.Sub(j.spec.Accepted()) > freshJob {
		return
	}
	pool := s.poolOf(j)
	s.arrivals.add(pool, j.work(s.capacityOf(pool)), now)
}

// worked counts a task that is done towards the work done in its pool.
func (s *State) worked(t *task) {
	if t.job.spec.LongRunning() || t.job.spec.Scheduled() {
		return
	}
	pool := s.poolOf(t.job)
	s.departures.add(pool, t.step.taskWork(s.capacityOf(pool)), s.now)
}

// dropped counts what is left of a job that ends early as if it were done.
func (s *State) dropped(j *job) {
	if j.spec.LongRunning() || j.spec.Scheduled() {
		return
	}
	pool := s.poolOf(j)
	s.departures.add(pool, j.work(s.capacityOf(pool)), s.now)
}

// capacityOf returns the capacity of a VM of a pool.
func (s *State) capacityOf(pool string) workload.Resources {
	for _, v := range s.servers {
		if v.reg.Pool == pool {
			return v.reg.Capacity
		}
	}
	return workload.Resources{}
}

// work is the declared work that is left of a job, in seconds of a whole server of the given capacity.
func (j *job) work(capacity workload.Resources) float64 {
	total := 0.0
	for occurrence := range j.made {
		for number := range j.spec.Steps() {
			st := j.steps[[2]int{occurrence, number}]
			total += float64(st.left) * st.taskWork(capacity)
		}
	}
	return total
}

// taskWork is the declared work of a task.
func (st *step) taskWork(capacity workload.Resources) float64 {
	return st.spec.Reserves().DominantShare(capacity) * st.spec.Estimate().Seconds()
}
