package dispatch

import (
	"github.com/pistachiolead/pistachiolead/provider"
)

// drainZone moves checkpointable jobs out of this entry VM's availability zone if operators took it out of service. It
// does so after zoneDrainPeriod, so that short jobs finish in place. Other running work isn't moved.
func (s *State) drainZone() {
	if !s.config.Zone(s.Zone).OutOfService() {
		s.zoneOutAt = zeroTime
		return
	}
	if s.zoneOutAt.IsZero() {
		s.zoneOutAt = s.now
	}
	if s.now.Sub(s.zoneOutAt) < zoneDrainPeriod {
		return
	}
	for _, k := range s.attendedRuns() {
		s.checkpointRun(s.runs[k])
	}
}

// checkpointRun signals a checkpointable attempt to save its state and stop. The job continues on another backend server.
func (s *State) checkpointRun(r *run) {
	w, ok := s.workItems[r.key.id]
	if !ok || w.isCall() || !r.stopSignalledAt.IsZero() {
		return
	}
	entry, known := s.config.Catalogue().Entry(r.entry)
	epoch, held := s.Ownership.Epoch(r.key.server)
	if !known || !entry.Checkpointable() || !entry.Idempotent() || !held {
		return
	}
	r.stopSignalledAt = s.now
	s.count("checkpoints")
	s.emit(Signal{
		server: r.key.server, epoch: epoch, id: r.key.id, attempt: r.key.attempt, signal: provider.SignalCheckpoint,
	})
}

// attendedRuns returns the keys of the runs with a work item on backend servers owned here, sorted.
func (s *State) attendedRuns() []runKey {
	var keys []runKey
	for k, r := range s.runs {
		if r.leaseLostAt.IsZero() && !r.orphaned {
			keys = append(keys, k)
		}
	}
	sortRunKeys(keys)
	return keys
}
