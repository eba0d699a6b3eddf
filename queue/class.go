package queue

import "time"

// Class is the urgency of a request. Lower values go first.
type Class uint8

// Classes in the order in which they are served.
const (
	Urgent Class = iota
	Interactive
	Archive
)

// String returns the name used in the catalogue.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Interactive:
		return "interactive"
	case Archive:
		return "archive"
	default:
		return "unknown"
	}
}

// WaitBound returns the longest expected wait with which a request of the class is admitted, 0 if there is no bound.
func (c Class) WaitBound() time.Duration {
	switch c {
	case Urgent:
		return urgentWaitBound
	case Interactive:
		return interactiveWaitBound
	default:
		return 0
	}
}

// aged returns the class that a request counts as after a wait. Only archive requests age: the others are bounded by
// admission, and ageing them would only reorder an overloaded class.
func (c Class) aged(wait time.Duration) Class {
	if c != Archive || wait < ageingInterval {
		return c
	}
	if wait < 2*ageingInterval {
		return Interactive
	}
	return Urgent
}
