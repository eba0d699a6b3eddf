package maintenance

import (
	"cmp"
	"math"
	"time"
)

// Spare computes how many spare VMs a fleet needs.
type Spare struct {
	// FailuresPerDay is the expected number of VM failures a day in the whole fleet.
	FailuresPerDay float64
	// Refill is the time until the platform has replaced a failed VM.
	Refill time.Duration
	// Quantile is the probability that the single failures within one refill time are covered, DefaultQuantile if it
	// is 0.
	Quantile float64
}

// Size returns the number of spare VMs that survives the loss of the largest rack and, within the refill time, the
// expected single failures. The VMs of a rack fail together, so the rack counts as a whole, spare VMs in it included:
// each of them is one spare VM less. Single failures are independent, and their number is a Poisson quantile.
func (s Spare) Size(f Fleet) int {
	racks := make(map[string]int)
	largest := 0
	for _, v := range f.vms {
		racks[v.rack]++
		largest = max(largest, racks[v.rack])
	}
	return largest + s.Failures()
}

// Failures returns the number of single failures within one refill time that isn't exceeded with the probability
// Quantile.
func (s Spare) Failures() int {
	mean := s.FailuresPerDay * s.Refill.Hours() / 24
	p := math.Exp(-mean)
	sum := p
	n := 0
	for sum < cmp.Or(s.Quantile, DefaultQuantile) && p > 0 {
		n++
		p *= mean / float64(n)
		sum += p
	}
	return n
}
