package fleet

import (
	"math"
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

// arrivalMemory is the time constant of the rate of arrivals: a burst shows within half a second, and single jobs
// don't look like one.
const arrivalMemory = 500 * time.Millisecond

// arrivals is the rate at which work for a pool arrives, in servers: seconds of work of a whole server a second.
type arrivals struct {
	value float64
	at    time.Time
}

func (a *arrivals) add(work float64, now time.Time) {
	a.value = a.rate(now) + work/arrivalMemory.Seconds()
	a.at = now
}

func (a *arrivals) rate(now time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.value * math.Exp(-now.Sub(a.at).Seconds()/arrivalMemory.Seconds())
}

// arrived counts a new job towards the arrivals of its pool.
func (s *State) arrived(j *job, now time.Time) {
	if j.spec.Lasting() || j.spec.Scheduled() {
		return
	}
	pool := s.poolOf(j)
	if s.arrivals[pool] == nil {
		s.arrivals[pool] = &arrivals{}
	}
	s.arrivals[pool].add(j.work(s.capacityOf(pool)), now)
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
			total += float64(st.left) * st.spec.Reserves().ShareOf(capacity) * st.spec.Estimate().Seconds()
		}
	}
	return total
}
