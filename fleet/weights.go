package fleet

import (
	"time"

	"k8s.io/klog/v2"
)

// weightBurst is the time whose jobs a customer may submit at once within its weight. The platform counts over the same time
// (its bound QuotaWindowS); a customer's usual bursts last as long.
const weightBurst = 5 * time.Second

// entitlement is a token bucket with the jobs that a customer may still submit within its weight, which is a rate in jobs a
// second. A new leader starts with full buckets.
type entitlement struct {
	jobs     float64
	at       time.Time
	exceeded int // jobs beyond the weight since loggedAt
	loggedAt time.Time
}

// take takes a job from the bucket and reports whether there was one.
func (e *entitlement) take(weight float64, now time.Time) bool {
	limit := max(weight*weightBurst.Seconds(), 1)
	e.jobs = min(e.jobs+weight*max(now.Sub(e.at), 0).Seconds(), limit)
	e.at = now
	if e.jobs < 1 {
		return false
	}
	e.jobs--
	return true
}

// entitlementFor returns the bucket that a new job takes from, nil if it takes from none: jobs of customers without a weight,
// long-running and scheduled jobs, and those that were accepted before the term.
func (s *State) entitlementFor(j *job, now time.Time) *entitlement {
	weight := s.weightOf(j)
	if weight <= 0 || j.longRunning || j.spec.Scheduled() || j.spec.Accepted().Before(s.began) {
		return nil
	}
	if e := s.entitlements[j.spec.Customer()]; e != nil {
		return e
	}
	return &entitlement{jobs: weight * weightBurst.Seconds(), at: now}
}

// exceedsWeight takes a new job from its customer's bucket, and reports whether it is beyond its customer's weight.
func (s *State) exceedsWeight(j *job, now time.Time) bool {
	e := s.entitlementFor(j, now)
	if e == nil {
		return false
	}
	weight, customer := s.weightOf(j), j.spec.Customer()
	s.entitlements[customer] = e
	if e.take(weight, now) {
		return false
	}
	s.counters.beyondWeight.Inc(1)
	if e.exceeded++; now.Sub(e.loggedAt) >= statusInterval {
		klog.InfoS("Customer submits beyond its weight", "customer", customer, "weight", weight, "jobs-beyond", e.exceeded,
			"job", j.spec.ID())
		e.exceeded, e.loggedAt = 0, now
	}
	return true
}

// weightOf returns the weight of the job's customer, or 0 if it has none.
func (s *State) weightOf(j *job) float64 {
	if s.IgnoreWeights || s.directory == nil {
		return 0
	}
	c, _ := s.directory.Customer(j.spec.Customer())
	return c.Weight
}
