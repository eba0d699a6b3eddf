package ownership

import "time"

// request is the kind of request under way to a server.
type request uint8

const (
	requestNone request = iota
	requestAcquire
	requestReport
	requestRelease
)

// server is what is known of a backend server.
type server struct {
	id       string
	listed   bool
	unlisted time.Time // when it was last seen to be missing from the list
	pref     preference

	held     bool
	epoch    uint64
	sent     time.Time // send time of the last request that granted or renewed the lease
	duration time.Duration

	asking   request
	asked    time.Time
	due      time.Time // next acquire or report
	failures int       // failed or refused requests in a row

	released      uint64 // epoch of the last release
	releasedAt    time.Time
	releaseUntil  time.Time // when the released lease ends at the latest
	releaseTries  int
	releaseFailed bool

	handing time.Time // when the hand-over began; zero if there is none
	gained  time.Time
	holdOff time.Duration // how long after gained a hand-over may begin
}

func (v *server) until() time.Time { return v.sent.Add(v.duration) }

func (v *server) mayStart(now time.Time) bool {
	return v.held && v.handing.IsZero() && now.Before(v.until().Add(-guardInterval))
}

// disown ends ownership. A report under way stays so, which delays the next acquire until it has ended.
func (v *server) disown() {
	v.held, v.handing, v.failures = false, time.Time{}, 0
}

func (v *server) ask(r request, now time.Time) {
	v.asking, v.asked = r, now
}

// answered ends the request under way if a result with the given send time belongs to it. Results of requests that
// were given up have earlier send times.
func (v *server) answered(r request, sent time.Time) bool {
	if v.asking != r || sent.Before(v.asked) {
		return false
	}
	v.asking = requestNone
	return true
}

func (v *server) backoff() time.Duration {
	d := retryMin
	for range v.failures {
		d = min(2*d, retryMax)
	}
	v.failures++
	return d
}

// usable reports whether a grant of a request sent at sent can still be used. Grants asked for before the last release
// may belong to a lease that the release has ended.
func (v *server) usable(epoch uint64, sent time.Time, duration time.Duration, now time.Time) bool {
	if epoch == v.released || !sent.After(v.releasedAt) {
		return false
	}
	return now.Before(sent.Add(duration - guardInterval))
}

func (v *server) forgettable(now time.Time) bool {
	return !v.listed && !v.held && now.Sub(v.unlisted) >= forgetAfter
}
