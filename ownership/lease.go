package ownership

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// acquireEnded handles the result of an acquire.
func (s *State) acquireEnded(e AcquireEnded, now time.Time) []Effect {
	v := s.servers[e.server]
	if v == nil {
		return nil
	}
	current := v.endRequest(requestAcquire, e.sent)
	if g, ok := e.outcome.(provider.Granted); ok {
		return s.applyGrant(v, g, e.sent, now)
	}
	if !current || v.held {
		return nil
	}
	switch o := e.outcome.(type) {
	case provider.Held:
		s.scheduleAfterLease(v, o, now)
	case provider.Refused:
		v.nextRequest = now.Add(refusedRetryInterval + jitter(s.EntryVM, v.id, takeoverSpread))
	case provider.Unavailable, provider.OutcomeUnknown:
		s.scheduleRetry(v, now)
	}
	return nil
}

// applyGrant handles a grant whose request was sent at sent.
func (s *State) applyGrant(v *server, g provider.Granted, sent, now time.Time) []Effect {
	if v.held || v.inFlight != requestNone {
		return nil // grant of a request that timed out; the result of the request in flight decides
	}
	duration := min(g.Duration(), maxLeaseDuration)
	if !v.usable(g.Epoch(), sent, duration, now) {
		s.scheduleRetry(v, now)
		return nil
	}
	v.epoch, v.leaseStart, v.duration = g.Epoch(), sent, duration
	if s.draining {
		return s.sendRelease(v, now)
	}
	s.takeOwnership(v, now)
	return []Effect{NewGained(v.id, v.epoch, g.Tasks())}
}

// takeOwnership sets the state of a server that this entry VM has acquired.
func (s *State) takeOwnership(v *server, now time.Time) {
	v.held, v.ownedSince, v.handoverStarted = true, now, time.Time{}
	v.failures = 0
	v.nextRequest = v.leaseStart.Add(renewInterval/2 + jitter(s.EntryVM, v.id, renewInterval/2))
	if v.preference.rank > 0 {
		v.holdOff = min(max(2*v.holdOff, minHoldOff), maxHoldOff)
	} else {
		v.holdOff = 0
	}
}

// scheduleAfterLease schedules an acquire for the time when the lease of another entry VM may have ended. The
// preferred owner retries more often, because the server may be handed over at any time.
func (s *State) scheduleAfterLease(v *server, h provider.Held, now time.Time) {
	if h.Holder() == v.preference.preferred {
		v.holdOff = 0
	}
	end := max(h.Remaining(), 0) + leaseEndMargin
	if v.preference.rank == 0 {
		v.nextRequest = now.Add(min(end, v.backoff()))
		return
	}
	v.nextRequest = now.Add(end + s.initialDelay(v))
}

// scheduleRetry schedules an acquire after one that brought no grant.
func (s *State) scheduleRetry(v *server, now time.Time) {
	if v.preference.rank == 0 {
		v.nextRequest = now.Add(v.backoff())
		return
	}
	v.nextRequest = now.Add(s.initialDelay(v))
}

// reportEnded handles the result of a report.
func (s *State) reportEnded(e ReportEnded, now time.Time) []Effect {
	v := s.servers[e.server]
	if v == nil || v.epoch != e.epoch {
		return nil
	}
	current := v.endRequest(requestReport, e.sent)
	if !v.held {
		return nil
	}
	switch o := e.outcome.(type) {
	case provider.Report:
		return s.applyReport(v, o, e.sent)
	case provider.StaleEpoch:
		return s.loseServer(v, now)
	case provider.Unavailable, provider.OutcomeUnknown:
		if current {
			v.nextRequest = now.Add(v.backoff())
		}
	}
	return nil
}

// applyReport renews the lease of a server that answered a report sent at sent.
func (s *State) applyReport(v *server, r provider.Report, sent time.Time) []Effect {
	if sent.After(v.leaseStart) {
		v.leaseStart = sent
		v.nextRequest = sent.Add(renewInterval + jitter(s.EntryVM, v.id, renewSpread))
	}
	v.failures = 0
	return []Effect{NewReported(v.id, r)}
}

// loseServer ends the ownership of a server whose lease has ended.
func (s *State) loseServer(v *server, now time.Time) []Effect {
	v.endOwnership()
	v.nextRequest = now.Add(s.initialDelay(v))
	return []Effect{NewLost(v.id, v.epoch)}
}

// releaseServer ends the ownership of a server and releases its lease.
func (s *State) releaseServer(v *server, now time.Time) []Effect {
	v.endOwnership()
	return append([]Effect{NewLost(v.id, v.epoch)}, s.sendRelease(v, now)...)
}

// sendRelease releases the last granted lease of a server.
func (s *State) sendRelease(v *server, now time.Time) []Effect {
	v.releasedEpoch, v.releasedAt, v.releasedLeaseEnd = v.epoch, now, v.leaseEnd()
	v.releaseAttempts, v.releaseRetryDue = 1, false
	v.startRequest(requestRelease, now)
	return []Effect{NewRelease(v.id, v.epoch)}
}

// releaseEnded handles the result of a release.
func (s *State) releaseEnded(e ReleaseEnded, now time.Time) []Effect {
	v := s.servers[e.server]
	if v == nil || v.inFlight != requestRelease || v.releasedEpoch != e.epoch {
		return nil
	}
	v.inFlight = requestNone
	switch e.outcome.(type) {
	case provider.Unavailable, provider.OutcomeUnknown:
		s.releaseUnconfirmed(v, now)
	default:
		s.endRelease(v, now)
	}
	return nil
}

// releaseUnconfirmed schedules a release again while the lease may last, because the next owner could acquire the
// server only after the end of the lease.
func (s *State) releaseUnconfirmed(v *server, now time.Time) {
	if v.releaseAttempts >= maxReleaseAttempts || !now.Before(v.releasedLeaseEnd) {
		s.endRelease(v, now)
		return
	}
	v.releaseRetryDue = true
	v.nextRequest = now.Add(minRetryDelay)
}

// retryRelease sends a release again.
func (s *State) retryRelease(v *server, now time.Time) []Effect {
	v.releaseAttempts++
	v.releaseRetryDue = false
	v.startRequest(requestRelease, now)
	return []Effect{NewRelease(v.id, v.releasedEpoch)}
}

// endRelease schedules the next acquire of a server after its release.
func (s *State) endRelease(v *server, now time.Time) {
	v.releaseRetryDue = false
	v.nextRequest = now.Add(s.initialDelay(v))
}
