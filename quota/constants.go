package quota

import "time"

const (
	// The headroom of a holder, the unused slots that it keeps, is a quarter of its running tasks and at least 1.
	headroomDivisor = 4
	minHeadroom     = 1

	// A holder keeps up to an eighth more than its fair share, so that small changes of the share cause no writes.
	fairShareToleranceDivisor = 8

	// surplusReturnDelay is how long slots must have been unused before they are returned while no other holder is
	// short of slots. An immediate return would cost two writes for every short gap in a team's load.
	surplusReturnDelay = 3 * time.Second
)
