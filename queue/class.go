package queue

import "time"

// Class is the urgency of a request. Lower values are more urgent.
type Class uint8

// The classes, most urgent first.
const (
	ClassUrgent Class = iota
	ClassInteractive
	ClassArchive
)

// String returns the name used in the catalogue, "unknown" for other values.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassInteractive:
		return "interactive"
	case ClassArchive:
		return "archive"
	default:
		return "unknown"
	}
}

// WaitBound returns the longest expected wait for which a request of the class is admitted, 0 if there is no bound.
func (c Class) WaitBound() time.Duration {
	switch c {
	case ClassUrgent:
		return urgentWaitBound
	case ClassInteractive:
		return interactiveWaitBound
	default:
		return 0
	}
}

// aged returns the class by which a request is ordered after a wait. Only archive requests are raised, so that they
// don't starve. The wait of other classes is bounded by admission, and aging would only reorder an overloaded class.
func (c Class) aged(wait time.Duration) Class {
	if c != ClassArchive || wait < agingInterval {
		return c
	}
	if wait < 2*agingInterval {
		return ClassInteractive
	}
	return ClassUrgent
}
