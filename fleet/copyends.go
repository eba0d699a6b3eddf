package fleet

import "github.com/pistachiolead/pistachiolead/backend"

// otherRun is another run of a task whose end a server has reported.
type otherRun struct {
	server string
	run    backend.Run
}

// awaitOtherRuns holds back the acknowledgement of an end while another run of the task may still be started: no run of a task starts
// after its end was acknowledged. That takes until the start or the stop of the other run is answered, and 15 s at most.
func (s *State) awaitOtherRuns(v *server, t *task) {
	for _, a := range t.attempts {
		if a.undecided() {
			v.awaitedRuns = append(v.awaitedRuns, otherRun{server: a.server.id, run: a.id()})
		}
	}
}

// undecided reports whether a request to start the run may still be carried out, as neither it nor one to stop the run was answered.
func (a *attempt) undecided() bool {
	return !a.stopAccepted && !a.endedThere && (a.phase == restored || a.startUnanswered())
}

// holdsEnds reports whether the ends that a server has reported may not be acknowledged yet.
func (s *State) holdsEnds(v *server) bool {
	kept := v.awaitedRuns[:0]
	for _, other := range v.awaitedRuns {
		a, known := s.findAttempt(other.server, other.run)
		_, late := s.lateStarts[other.server][other.run]
		if late || known && a.undecided() {
			kept = append(kept, other)
		}
	}
	v.awaitedRuns = kept
	return len(kept) > 0
}
