package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// weightBurst is the time whose jobs a customer may submit at once within its weight. The platform counts over the same time
	// (its bound QuotaWindowS); a customer's usual bursts last as long.
	weightBurst = 5 * time.Second
	// maxStoredEntitlements bounds the entitlements in the term row.
	maxStoredEntitlements = 64
	// The share of a customer's jobs that fits within its weight is measured for shareWindow, from shareDelay after its last change on:
	// entry VMs know it by then.
	shareDelay  = 900 * time.Millisecond
	shareWindow = 600 * time.Millisecond
	// minShare is the least share, and shareGrowth the factor by which it grows while the customer doesn't use its weight.
	minShare    = 0.02
	shareGrowth = 2
)

// Entitlement is how much of its weight a customer has left, as the term row holds it.
type Entitlement struct {
	// MilliJobs are the jobs that the customer could submit at AtMS, in thousandths. Times are in Unix milliseconds.
	MilliJobs int64 `json:"milli-jobs"`
	AtMS      int64 `json:"at-ms"`
	// Beyond is the number of its open jobs beyond its weight, and SinceMS when the first of them was accepted.
	Beyond  int   `json:"beyond,omitempty"`
	SinceMS int64 `json:"since-ms,omitempty"`
	// Permille is the share of its jobs that fits within its weight, in thousandths.
	Permille int64 `json:"permille,omitempty"`
}

// entitlement is a token bucket with the jobs that a customer may still submit within its weight, which is a rate in jobs a
// second.
type entitlement struct {
	jobs     float64
	at       time.Time
	exceeded int // jobs beyond the weight since loggedAt
	loggedAt time.Time

	share             float64 // of the customer's jobs that fits within the weight, if entry VMs refuse the others
	shareAt           time.Time
	refuses           bool // entry VMs know the share and refuse the other jobs
	submitted, beyond int  // jobs since shareAt and shareDelay, and those beyond the weight
}

func maxEntitled(weight float64) float64 { return max(weight*weightBurst.Seconds(), 1) }

func (e *entitlement) fill(weight float64, now time.Time) {
	if now.After(e.at) {
		e.jobs, e.at = e.jobs+weight*now.Sub(e.at).Seconds(), now
	}
	e.jobs = min(e.jobs, maxEntitled(weight))
}

// take takes a job from the bucket and reports whether there was one.
func (e *entitlement) take(weight float64, now time.Time) bool {
	e.fill(weight, now)
	if e.jobs < 1 {
		return false
	}
	e.jobs--
	return true
}

// unused reports whether the customer uses too little of its weight for any of its jobs to be beyond it.
func (e *entitlement) unused(weight float64) bool { return e.jobs >= max(maxEntitled(weight)/2, 1) }

// count counts a new job for the share.
func (e *entitlement) count(beyond bool, now time.Time) {
	if now.Sub(e.shareAt) < shareDelay {
		return
	}
	e.submitted++
	if beyond {
		e.beyond++
	}
}

// adjustShare adapts the share of the customer's jobs that fits within its weight. The jobs that entry VMs refuse don't arrive.
func (e *entitlement) adjustShare(now time.Time) {
	if now.Sub(e.shareAt) < shareDelay+shareWindow {
		return
	}
	within := float64(e.submitted-e.beyond) / float64(max(e.submitted, 1))
	switch {
	case e.submitted == 0 || e.beyond == 0:
		e.share = min(e.share*shareGrowth, 1)
	case e.refuses:
		e.share = max(e.share*within, minShare)
	default:
		e.share = max(within, minShare)
	}
	e.shareAt, e.submitted, e.beyond = now, 0, 0
}

// admit decides whether a new job is beyond its customer's weight. For jobs that were accepted before the term that is decided once
// all of them are known.
func (s *State) admit(j *job, now time.Time) {
	if !s.jobsRead && j.spec.Accepted().Before(s.began) {
		s.inheritedJobs = append(s.inheritedJobs, j)
		return
	}
	j.beyondWeight = s.exceedsWeight(j, now)
}

// entitlementFor returns the bucket that a new job takes from, nil if it takes from none: jobs of customers without a weight,
// long-running and scheduled jobs.
func (s *State) entitlementFor(j *job, at time.Time) *entitlement {
	weight := s.weightOf(j)
	if weight <= 0 || j.longRunning || j.spec.Scheduled() {
		return nil
	}
	if e := s.entitlements[j.spec.Customer()]; e != nil {
		return e
	}
	return &entitlement{jobs: maxEntitled(weight), at: at, share: 1, shareAt: at}
}

// exceedsWeight takes a job that is submitted at the given time from its customer's bucket, and reports whether it is beyond its
// customer's weight.
func (s *State) exceedsWeight(j *job, at time.Time) bool {
	e := s.entitlementFor(j, at)
	if e == nil {
		return false
	}
	weight, customer := s.weightOf(j), j.spec.Customer()
	s.entitlements[customer] = e
	within := e.take(weight, at)
	e.count(!within, at)
	if within {
		return false
	}
	s.counters.beyondWeight.Inc(1)
	if e.exceeded++; at.Sub(e.loggedAt) >= statusInterval {
		klog.InfoS("Customer submits beyond its weight", "customer", customer, "weight", weight, "jobs-beyond", e.exceeded,
			"job", j.spec.ID())
		e.exceeded, e.loggedAt = 0, at
	}
	return true
}

// weightOf returns the weight of the job's customer, or 0 if it has none.
func (s *State) weightOf(j *job) float64 { return s.customerWeight(j.spec.Customer()) }

func (s *State) customerWeight(name string) float64 {
	if s.IgnoreWeights || s.directory == nil {
		return 0
	}
	c, _ := s.directory.Customer(name)
	return c.Weight
}

// restoreEntitlements goes on from the entitlements that the previous leader stored. The clocks of the two may differ.
func (s *State) restoreEntitlements(now time.Time) {
	s.entitlements = make(map[string]*entitlement, len(s.Term.Entitlements))
	s.storedBefore = s.Term.Entitlements
	for customer, stored := range s.Term.Entitlements {
		s.entitlements[customer] = &entitlement{
			jobs: float64(stored.MilliJobs) / 1000, at: earlier(time.UnixMilli(stored.AtMS), now),
			share: float64(stored.Permille) / 1000, shareAt: now,
		}
	}
}

// markInheritedJobs decides which jobs that were accepted before the term are beyond the weight of their customer: as many as the
// previous leader stored of those that it knew, and later ones by what was left of the weight.
func (s *State) markInheritedJobs(now time.Time) {
	byCustomer := make(map[string][]*job)
	for _, j := range s.inheritedJobs {
		if !j.state.Final() && !j.longRunning && !j.spec.Scheduled() && s.weightOf(j) > 0 {
			byCustomer[j.spec.Customer()] = append(byCustomer[j.spec.Customer()], j)
		}
	}
	s.inheritedJobs = nil
	for _, customer := range slices.Sorted(maps.Keys(byCustomer)) {
		stored, known := s.storedBefore[customer]
		if !known {
			continue
		}
		jobs := byCustomer[customer]
		slices.SortFunc(jobs, func(a, b *job) int {
			return cmp.Or(a.submitted.Compare(b.submitted), cmp.Compare(a.spec.ID(), b.spec.ID()))
		})
		var waiting, started []*job
		for _, j := range jobs {
			switch accepted := j.submitted.UnixMilli(); {
			case accepted > stored.AtMS:
				j.beyondWeight = s.exceedsWeight(j, earlier(j.submitted, now))
			case accepted < stored.SinceMS:
			case j.started:
				started = append(started, j)
			default:
				waiting = append(waiting, j)
			}
		}
		markEvenly(waiting, stored.Beyond)
		markEvenly(started, stored.Beyond-len(waiting))
	}
}

// markEvenly marks a number of jobs, spread evenly over all, as beyond the weight of their customer. Those that were within the weight
// came at its rate.
func markEvenly(jobs []*job, beyond int) {
	beyond = min(max(beyond, 0), len(jobs))
	for i, j := range jobs {
		j.beyondWeight = (i+1)*beyond/len(jobs) > i*beyond/len(jobs)
	}
}

// storedEntitlements returns the entitlements of the next renewal of the term: those of customers with open jobs beyond their weight,
// and of those that have used half of what they may submit at once. The others count as full.
func (s *State) storedEntitlements(now time.Time) map[string]Entitlement {
	if !s.jobsRead {
		return s.Term.Entitlements
	}
	stored, used := make(map[string]Entitlement), make(map[string]float64)
	for customer, e := range s.entitlements {
		weight := s.customerWeight(customer)
		if weight <= 0 {
			delete(s.entitlements, customer)
			continue
		}
		e.fill(weight, now)
		stored[customer] = Entitlement{
			MilliJobs: int64(e.jobs * 1000), AtMS: now.UnixMilli(), Permille: int64(math.Ceil(e.share * 1000)),
		}
		used[customer] = 1 - e.jobs/maxEntitled(weight)
	}
	for _, j := range s.jobs {
		if !j.beyondWeight || j.state.Final() {
			continue
		}
		e := stored[j.spec.Customer()]
		if accepted := j.submitted.UnixMilli(); e.Beyond == 0 || accepted < e.SinceMS {
			e.SinceMS = accepted
		}
		e.Beyond++
		stored[j.spec.Customer()] = e
	}
	maps.DeleteFunc(stored, func(customer string, e Entitlement) bool { return e.Beyond == 0 && used[customer] < 0.5 })
	if len(stored) > maxStoredEntitlements {
		names := slices.SortedFunc(maps.Keys(stored), func(a, b string) int {
			return cmp.Or(cmp.Compare(used[b], used[a]), cmp.Compare(a, b))
		})
		for _, name := range names[maxStoredEntitlements:] {
			delete(stored, name)
		}
	}
	return stored
}
