package ownership

import "time"

// request is the kind of a request to a server.
type request uint8

const (
	requestNone request = iota
	requestAcquire
	requestReport
	requestRelease
)

// server is the state of a backend server as known to this entry VM.
type server struct {
	id         string
	listed     bool
	unlisted   time.Time // when it disappeared from the VM list
	preference preference

	held       bool
	epoch      uint64
	leaseStart time.Time // send time of the last request that granted or renewed the lease
	duration   time.Duration

	inFlight    request
	requestedAt time.Time
	nextRequest time.Time // next acquire or report
	failures    int       // consecutive failed or refused requests

	releasedEpoch    uint64 // epoch of the last release
	releasedAt       time.Time
	releasedLeaseEnd time.Time // when the released lease ends at the latest
	releaseAttempts  int
	releaseRetryDue  bool

	handoverStarted time.Time // zero if no handover is in progress
	ownedSince      time.Time
	holdOff         time.Duration // how long after ownedSince no handover may start
}

// leaseEnd returns the end of the lease.
func (v *server) leaseEnd() time.Time { return v.leaseStart.Add(v.duration) }

// mayStart reports whether work may start on the server at now.
func (v *server) mayStart(now time.Time) bool {
	return v.held && v.handoverStarted.IsZero() && now.Before(v.leaseEnd().Add(-guardInterval))
}

// endOwnership clears the ownership. A report in flight stays in flight, which delays the next acquire until it has
// ended.
func (v *server) endOwnership() {
	v.held, v.handoverStarted, v.failures = false, time.Time{}, 0
}

func (v *server) startRequest(r request, now time.Time) {
	v.inFlight, v.requestedAt = r, now
}

// endRequest reports whether a result with the given send time belongs to the request in flight, and ends that
// request if so. Results of requests that timed out have earlier send times.
func (v *server) endRequest(r request, sent time.Time) bool {
	if v.inFlight != r || sent.Before(v.requestedAt) {
		return false
	}
	v.inFlight = requestNone
	return true
}

// backoff returns the delay before the next request and counts a failure.
func (v *server) backoff() time.Duration {
	d := minRetryDelay
	for range v.failures {
		d = min(2*d, maxRetryDelay)
	}
	v.failures++
	return d
}

// usable reports whether a grant whose request was sent at sent can be used at now. A grant requested before the last
// release may belong to the released lease.
func (v *server) usable(epoch uint64, sent time.Time, duration time.Duration, now time.Time) bool {
	if epoch == v.releasedEpoch || !sent.After(v.releasedAt) {
		return false
	}
	return now.Before(sent.Add(duration - guardInterval))
}

// removable reports whether the state of the server may be deleted.
func (v *server) removable(now time.Time) bool {
	return !v.listed && !v.held && now.Sub(v.unlisted) >= unlistedRetention
}
