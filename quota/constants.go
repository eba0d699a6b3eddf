package quota

import "time"

const (
	// spareDivisor sets the unused slots that a holder keeps: a quarter of what runs, and at least minSpare.
	spareDivisor = 4
	minSpare     = 1

	// partTolerance lets a holder keep an eighth more than its part, so that parts that vary a little cost no writes.
	partTolerance = 8

	// surplusDelay is how long slots must have been unused before they are given back when no other holder is short.
	// Giving them back at once would cost two writes for every short gap in a team's load.
	surplusDelay = 3 * time.Second
)
