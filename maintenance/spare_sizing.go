package maintenance

import (
	"cmp"
	"math"
	"time"
)

// SpareSizing computes how many spare VMs a fleet needs.
type SpareSizing struct {
	// FailuresPerDay is the expected number of VM failures per day in the whole fleet.
	FailuresPerDay float64
	// ReplacementTime is the time until the platform has replaced a failed VM.
	ReplacementTime time.Duration
	// Coverage is the probability that the spare VMs suffice for the single failures within one replacement time,
	// DefaultCoverage if it is 0.
	Coverage float64
}

// VMs returns the number of spare VMs that covers the loss of the largest rack and, at the same time, the single
// failures expected within one replacement time. The VMs of a rack fail together, so the whole rack counts; spare VMs
// in it are included, because their loss reduces the number of spare VMs. Single failures are independent, and their
// number is a quantile of a Poisson distribution.
func (s SpareSizing) VMs(f Fleet) int {
	racks := make(map[string]int)
	largest := 0
	for _, v := range f.vms {
		racks[v.rack]++
		largest = max(largest, racks[v.rack])
	}
	return largest + s.FailureQuantile()
}

// FailureQuantile returns the smallest number of single failures that isn't exceeded within one replacement time with
// the probability Coverage.
func (s SpareSizing) FailureQuantile() int {
	mean := s.FailuresPerDay * s.ReplacementTime.Hours() / 24
	p := math.Exp(-mean)
	sum := p
	n := 0
	for sum < cmp.Or(s.Coverage, DefaultCoverage) && p > 0 {
		n++
		p *= mean / float64(n)
		sum += p
	}
	return n
}
