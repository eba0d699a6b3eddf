package ownership

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

func (s *State) acquireEnded(e AcquireEnded, now time.Time) []Effect {
	v := s.servers[e.server]
	if v == nil {
		return nil
	}
	current := v.answered(requestAcquire, e.sent)
	if g, ok := e.outcome.(provider.Granted); ok {
		return s.granted(v, g, e.sent, now)
	}
	if !current || v.held {
		return nil
	}
	switch o := e.outcome.(type) {
	case provider.Held:
		s.heldElsewhere(v, o, now)
	case provider.Refused:
		v.due = now.Add(refusedInterval + jitter(s.Self, v.id, takeOverSpread))
	case provider.Unavailable, provider.Unknown:
		s.retry(v, now)
	}
	return nil
}

func (s *State) granted(v *server, g provider.Granted, sent, now time.Time) []Effect {
	if v.held || v.asking != requestNone {
		return nil // of a request that was given up; the one under way decides
	}
	duration := min(g.Duration(), maxLeaseDuration)
	if !v.usable(g.Epoch(), sent, duration, now) {
		s.retry(v, now)
		return nil
	}
	v.epoch, v.sent, v.duration = g.Epoch(), sent, duration
	if s.drained {
		return s.giveUp(v, now)
	}
	s.gain(v, now)
	return []Effect{NewGained(v.id, v.epoch, g.Tasks())}
}

func (s *State) gain(v *server, now time.Time) {
	v.held, v.gained, v.handing = true, now, time.Time{}
	v.failures = 0
	v.due = v.sent.Add(renewInterval/2 + jitter(s.Self, v.id, renewInterval/2))
	if v.pref.rank > 0 {
		v.holdOff = min(max(2*v.holdOff, holdOffMin), holdOffMax)
	} else {
		v.holdOff = 0
	}
}

// heldElsewhere waits until the lease of another entry VM may have ended. The preferred owner asks more often, as the
// server may be handed over at any time.
func (s *State) heldElsewhere(v *server, h provider.Held, now time.Time) {
	if h.Holder() == v.pref.preferred {
		v.holdOff = 0
	}
	end := max(h.Remaining(), 0) + leaseEndMargin
	if v.pref.rank == 0 {
		v.due = now.Add(min(end, v.backoff()))
		return
	}
	v.due = now.Add(end + s.initialDelay(v))
}

// retry schedules an acquire after one without a grant.
func (s *State) retry(v *server, now time.Time) {
	if v.pref.rank == 0 {
		v.due = now.Add(v.backoff())
		return
	}
	v.due = now.Add(s.initialDelay(v))
}

func (s *State) reportEnded(e ReportEnded, now time.Time) []Effect {
	v := s.servers[e.server]
	if v == nil || v.epoch != e.epoch {
		return nil
	}
	current := v.answered(requestReport, e.sent)
	if !v.held {
		return nil
	}
	switch o := e.outcome.(type) {
	case provider.Report:
		return s.renewed(v, o, e.sent)
	case provider.StaleEpoch:
		return s.lose(v, now)
	case provider.Unavailable, provider.Unknown:
		if current {
			v.due = now.Add(v.backoff())
		}
	}
	return nil
}

func (s *State) renewed(v *server, r provider.Report, sent time.Time) []Effect {
	if sent.After(v.sent) {
		v.sent = sent
		v.due = sent.Add(renewInterval + jitter(s.Self, v.id, renewSpread))
	}
	v.failures = 0
	return []Effect{NewReported(v.id, r)}
}

// lose ends the ownership of a server whose lease has ended.
func (s *State) lose(v *server, now time.Time) []Effect {
	v.disown()
	v.due = now.Add(s.initialDelay(v))
	return []Effect{NewLost(v.id, v.epoch)}
}

// release ends the ownership of a server and its lease.
func (s *State) release(v *server, now time.Time) []Effect {
	v.disown()
	return append([]Effect{NewLost(v.id, v.epoch)}, s.giveUp(v, now)...)
}

// giveUp sends the release of the lease last granted.
func (s *State) giveUp(v *server, now time.Time) []Effect {
	v.released, v.releasedAt, v.releaseUntil = v.epoch, now, v.until()
	v.releaseTries, v.releaseFailed = 1, false
	v.ask(requestRelease, now)
	return []Effect{NewRelease(v.id, v.epoch)}
}

func (s *State) releaseEnded(e ReleaseEnded, now time.Time) []Effect {
	v := s.servers[e.server]
	if v == nil || v.asking != requestRelease || v.released != e.epoch {
		return nil
	}
	v.asking = requestNone
	switch e.outcome.(type) {
	case provider.Unavailable, provider.Unknown:
		s.releaseMissed(v, now)
	default:
		s.releaseDone(v, now)
	}
	return nil
}

// releaseMissed repeats a release while the lease may last, because the next owner would wait for its end.
func (s *State) releaseMissed(v *server, now time.Time) {
	if v.releaseTries >= releaseAttempts || !now.Before(v.releaseUntil) {
		s.releaseDone(v, now)
		return
	}
	v.releaseFailed = true
	v.due = now.Add(retryMin)
}

func (s *State) releaseAgain(v *server, now time.Time) []Effect {
	v.releaseTries++
	v.releaseFailed = false
	v.ask(requestRelease, now)
	return []Effect{NewRelease(v.id, v.released)}
}

func (s *State) releaseDone(v *server, now time.Time) {
	v.releaseFailed = false
	v.due = now.Add(s.initialDelay(v))
}
