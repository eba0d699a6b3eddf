package dispatch

import (
	"github.com/pistachiolead/pistachiolead/provider"
)

// drainZone moves jobs that can be checkpointed out of an availability zone that operators took out, once its drain
// window has passed. What ends within the window isn't moved; other work runs to its end.
func (s *State) drainZone() {
	if !s.config.Zone(s.Zone).Out() {
		s.zoneOutAt = zeroTime
		return
	}
	if s.zoneOutAt.IsZero() {
		s.zoneOutAt = s.now
	}
	if s.now.Sub(s.zoneOutAt) < drainWindow {
		return
	}
	for _, k := range s.ownRuns() {
		s.checkpoint(s.runs[k])
	}
}

// checkpoint ends an attempt that can be checkpointed. Its job continues elsewhere.
func (s *State) checkpoint(r *run) {
	w, ok := s.works[r.key.id]
	if !ok || w.isCall() || !r.signalled.IsZero() {
		return
	}
	entry, known := s.config.Catalogue().Entry(r.entry)
	epoch, held := s.Owners.Epoch(r.key.server)
	if !known || !entry.Checkpoint() || !entry.Idempotent() || !held {
		return
	}
	r.signalled = s.now
	s.count("checkpoints")
	s.emit(Signal{
		server: r.key.server, epoch: epoch, id: r.key.id, attempt: r.key.attempt, signal: provider.SignalCheckpoint,
	})
}

func (s *State) ownRuns() []runKey {
	var keys []runKey
	for k, r := range s.runs {
		if r.lostAt.IsZero() && !r.orphan {
			keys = append(keys, k)
		}
	}
	sortRunKeys(keys)
	return keys
}
