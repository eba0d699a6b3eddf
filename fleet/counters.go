package fleet

import "github.com/uber-go/tally/v4"

// counters are the metrics of the control state.
type counters struct {
	starts, unansweredStarts, ends, failures, lost, crashes, cancels, commits, rejected tally.Counter
	beyondWeight, slowdowns, copies, discardedMS, runMoves                              tally.Counter
	pending, tasks, slowServers                                                         tally.Gauge
	lateStarts, longestLateStart                                                        tally.Gauge // tasks that wait, seconds
}

func newCounters(scope tally.Scope) counters {
	return counters{
		starts: scope.Counter("starts"), unansweredStarts: scope.Counter("unanswered-starts"), ends: scope.Counter("ends"), failures: scope.Counter("failed-runs"),
		lost: scope.Counter("lost-runs"), crashes: scope.Counter("crashes"), cancels: scope.Counter("cancels"),
		commits: scope.Counter("commits"), rejected: scope.Counter("rejected-rows"),
		beyondWeight: scope.Counter("jobs-beyond-weight"), pending: scope.Gauge("waiting-jobs"), tasks: scope.Gauge("tasks"), slowServers: scope.Gauge("slow-servers"), slowdowns: scope.Counter("slowdowns"),
		lateStarts: scope.Gauge("late-starts"), longestLateStart: scope.Gauge("longest-late-start-seconds"),
		copies: scope.Counter("copies"), discardedMS: scope.Counter("discarded-ms"), runMoves: scope.Counter("moved-runs"),
	}
}
