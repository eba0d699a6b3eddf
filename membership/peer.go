package membership

import "time"

// peer is the state of another entry VM as known to this one.
type peer struct {
	id        string
	zone      string
	address   string
	leaving   bool
	listed    bool
	hasRow    bool
	absentFor time.Duration // time covered by successful listings without the peer since it was last listed

	up            bool
	everUp        bool
	lastContact   time.Time // last heartbeat received or replied to by the peer
	failures      int       // failed heartbeats since lastContact
	successes     int       // heartbeats received or replied to by the peer since the last failed one
	nextHeartbeat time.Time
	heartbeatSent time.Time // send time of the heartbeat in flight; zero if there is none

	rowDeletionSent time.Time // when the deletion of the row was last requested
}

// recordContact records a heartbeat that the peer replied to or sent at the time at.
func (p *peer) recordContact(at time.Time) {
	if at.After(p.lastContact) {
		p.lastContact = at
	}
	p.failures = 0
	p.successes++
}

func (p *peer) recordFailure() {
	p.failures++
	p.successes = 0
}

// shouldComeUp reports whether a peer that is down becomes live.
func (p *peer) shouldComeUp() bool {
	return p.successes >= upSuccesses || (p.successes > 0 && !p.everUp)
}

// shouldGoDown reports whether a peer that is live goes down.
func (p *peer) shouldGoDown(now time.Time) bool {
	return p.failures >= downFailures && now.Sub(p.lastContact) >= downAfter
}

// rowDeletable reports whether the row of the peer may be deleted: the VM list has been without the peer for long
// enough, and there has been no contact with it for as long.
func (p *peer) rowDeletable(now time.Time) bool {
	return p.absentFor >= rowDeletionDelay && now.Sub(p.lastContact) >= rowDeletionDelay
}

// removable reports whether the state of the peer may be deleted.
func (p *peer) removable(now time.Time) bool {
	return !p.listed && !p.hasRow && !p.up && now.Sub(p.lastContact) >= peerRetention
}
