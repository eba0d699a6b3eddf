package membership

import "time"

// peer is what is known of another entry VM.
type peer struct {
	id      string
	zone    string
	address string
	leaving bool
	listed  bool
	row     bool
	absent  time.Duration // successful listings without it since it was last listed

	up        bool
	everUp    bool
	good      time.Time // last sign of life
	failures  int       // failed heartbeats since then
	successes int       // answered heartbeats in a row
	due       time.Time
	sent      time.Time // when the heartbeat under way was asked for; zero if there is none

	deleted time.Time // when the deletion of its row was last asked for
}

func (p *peer) alive(at time.Time) {
	if at.After(p.good) {
		p.good = at
	}
	p.failures = 0
	p.successes++
}

func (p *peer) failed() {
	p.failures++
	p.successes = 0
}

// wantsUp reports whether a peer that is down is to become live.
func (p *peer) wantsUp() bool {
	return p.successes >= upSuccesses || (p.successes > 0 && !p.everUp)
}

func (p *peer) wantsDown(now time.Time) bool {
	return p.failures >= downFailures && now.Sub(p.good) >= downAfter
}

// gone reports whether the list has shown for long enough that the VM doesn't exist, and nothing else says that it
// does.
func (p *peer) gone(now time.Time) bool {
	return p.absent >= removeAfter && now.Sub(p.good) >= removeAfter
}

func (p *peer) forgettable(now time.Time) bool {
	return !p.listed && !p.row && !p.up && now.Sub(p.good) >= forgetAfter
}
