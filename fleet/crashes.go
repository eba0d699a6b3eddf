package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// startupTime is how long a run has to be at work before it has survived its start.
	startupTime = 300 * time.Millisecond
	// maxCauseWait bounds the time that a task waits until the cause of a loss is known.
	maxCauseWait = 6 * time.Second
	// crashAlertTime is how long tasks are isolated after their first crash, since a task crashed two servers.
	crashAlertTime = time.Minute
	// expectedDigits bounds the length of the number of expected crashes in a row.
	expectedDigits = 1e4
	// maxIncarnation is above the incarnation of any server.
	maxIncarnation = math.MaxInt64
)

// lossKey identifies a run that was lost with its server.
type lossKey struct {
	task *task
	run  int
}

// losses holds the runs that were lost with a server of which isn't known whether it crashed, by the server's id, and when they
// were there. The tasks' records hold the same losses.
type losses map[string]map[lossKey]exposure

func (l losses) add(server string, key lossKey, e exposure) {
	if l[server] == nil {
		l[server] = make(map[lossKey]exposure)
	}
	l[server][key] = e
}

func (l losses) remove(server string, key lossKey) {
	delete(l[server], key)
	if len(l[server]) == 0 {
		delete(l, server)
	}
}

// of returns the lost runs of a server in a fixed order.
func (l losses) of(server string) []lossKey {
	keys := make([]lossKey, 0, len(l[server]))
	for key := range l[server] {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b lossKey) int {
		return cmp.Or(strings.Compare(a.task.id.String(), b.task.id.String()), a.run-b.run)
	})
	return keys
}

// recordLosses records that a server was lost with the runs of its incarnations before the given one.
func (s *State) recordLosses(v *server, before int64, now time.Time) {
	for _, a := range v.attempts {
		if a.countsAsLost(before) {
			s.recordLoss(a, now)
		}
	}
}

// countsAsLost reports whether a run may have been lost with the incarnations of its server before the given one.
func (a *attempt) countsAsLost(before int64) bool {
	sent := a.phase != storing && (a.phase != requested || !a.startSentAt.IsZero())
	survived := a.onNextIncarnation && before < maxIncarnation
	return sent && a.incarnation < before && !survived
}

// recordLoss records that a server was lost with a run. Whether the server crashed is known later: from the list of VMs, a
// restart, or a report that it goes on. A draining server ends as announced, unless it doesn't report a run that it has started.
func (s *State) recordLoss(a *attempt, now time.Time) {
	t := a.task
	if t.record.Done || t.record.GivenUp || t.job.state.Final() || a.lossRecorded ||
		a.server.reg.Draining && !a.mayHaveCrashedAtStart() || t.step.spec.LongRunning() && a.survived {
		return
	}
	a.lossRecorded = true
	t.record.Losses = append(t.record.Losses, workload.Loss{
		Server: a.server.id, Incarnation: a.incarnation, Run: a.runNumber, Started: a.accepted || a.reported,
		AtStart: !a.reported, Isolated: a.isolated,
	})
	t.lostAt, t.step.mayNeedIsolation = now, true
	s.losses.add(a.server.id, lossKey{task: t, run: a.runNumber}, a.exposure(now))
	s.markChanged(t.job)
}

// mayHaveCrashedAtStart reports whether the server accepted the run, and no report has listed it since.
func (a *attempt) mayHaveCrashedAtStart() bool { return a.accepted && !a.reported }

// runSurvivedStart records that a run is at work for startupTime, or has ended by itself. If it is long-running, the crashes
// before were not its doing.
func (s *State) runSurvivedStart(a *attempt) {
	a.survived = true
	r := &a.task.record
	if !a.task.step.spec.LongRunning() || r.Crashes == 0 && len(r.Losses) == 0 {
		return
	}
	klog.InfoS("Run survived its start", "run", a.id(), "server", a.server.id, "crashes", r.Crashes, "unresolved", len(r.Losses))
	s.forgetLosses(a.task)
	r.Crashes, r.CertainCrashes, r.IsolatedCrashes, r.CrashedAtStart, r.ExpectedCrashes = 0, 0, 0, false, 0
	s.markChanged(a.task.job)
}

// forgetLosses removes the losses of a task that isn't started again.
func (s *State) forgetLosses(t *task) {
	for _, l := range t.record.Losses {
		s.losses.remove(l.Server, lossKey{task: t, run: l.Run})
	}
	t.record.Losses = nil
}

// serverCrashed confirms that a server crashed, for the runs that were lost with its incarnations before the given one.
func (s *State) serverCrashed(id string, before int64, evidence string) {
	s.resolveLosses(id, before, func(t *task, l workload.Loss, e exposure) {
		others := s.crashesElsewhere(t, id, e)
		t.countCrash(l, others.probability())
		t.avoid(id)
		s.counters.crashes.Inc(1)
		c := t.crashes()
		klog.InfoS("Backend server crashed under a task", "task", t.id, "run", l.Run, "server", id, "evidence", evidence,
			"crashes", t.record.Crashes, "started", l.Started, "at-start", l.AtStart, "isolated", l.Isolated,
			"after", others.duration, "others-crashed", others.crashed, "others", others.servers, "pool-crashed", others.crashedInPool,
			"pool-others", others.serversInPool, "crash-rate", float32(others.rate), "expected", c.Expected, "coincidence", float32(c.Coincidence()))
		if schedule.RaisesAlert(c) {
			s.crashAlertUntil = s.now.Add(crashAlertTime)
		}
		if schedule.GivesUp(c) {
			s.giveUp(t, "crashes-servers")
		}
	})
}

// countCrash counts a crash of a server under the task, which has the given probability on any server.
func (t *task) countCrash(l workload.Loss, probability float64) {
	r := &t.record
	r.Crashes++
	r.ExpectedCrashes = math.Ceil((r.ExpectedCrashes+probability)*expectedDigits) / expectedDigits
	r.CrashedAtStart = r.CrashedAtStart || l.AtStart
	if !l.Started {
		return
	}
	r.CertainCrashes++
	if l.Isolated {
		r.IsolatedCrashes++
	}
}

// serverSurvived records that a server was unresponsive for a while and goes on with the same incarnation.
func (s *State) serverSurvived(id string, incarnation int64, evidence string) {
	s.resolveLosses(id, incarnation+1, func(t *task, l workload.Loss, _ exposure) {
		klog.InfoS("Backend server hadn't crashed", "task", t.id, "run", l.Run, "server", id, "evidence", evidence)
	})
}

// resolveLosses removes the losses with the incarnations of a server before the given one, and calls resolve for each.
func (s *State) resolveLosses(id string, before int64, resolve func(*task, workload.Loss, exposure)) {
	for _, key := range s.losses.of(id) {
		recorded := key.task.record.Losses
		i := slices.IndexFunc(recorded, func(l workload.Loss) bool { return l.Server == id && l.Run == key.run })
		if i < 0 {
			s.losses.remove(id, key) // the job has ended meanwhile
			continue
		}
		l := recorded[i]
		if l.Incarnation >= before {
			continue
		}
		e := s.losses[id][key]
		s.losses.remove(id, key)
		key.task.record.Losses = slices.Delete(recorded, i, i+1)
		s.markChanged(key.task.job)
		s.dirtyPools[s.poolOf(key.task.job)] = true
		resolve(key.task, l, e)
	}
}

// resolveByVMs decides by a list of VMs on servers that were lost before the list was requested: a server that no running VM
// has any more crashed, and one whose VM is being moved or maintained was ended for that.
func (s *State) resolveByVMs(vms []backend.VM, requestedAt time.Time) {
	states := make(map[string]backend.VMState, len(vms))
	for _, vm := range vms {
		states[vm.Server] = vm.State
	}
	for id, lost := range s.losses {
		state, listed := states[id]
		switch {
		case listed && state == backend.VMUp || anyLostAfter(lost, requestedAt):
		case listed && (state == backend.VMMoving || state == backend.VMMaintenance):
			s.serverSurvived(id, maxIncarnation-1, "vm-"+string(state))
		default:
			s.serverCrashed(id, maxIncarnation, "not-listed")
		}
	}
}

func anyLostAfter(lost map[lossKey]exposure, t time.Time) bool {
	for key := range lost {
		if key.task.lostAt.After(t) {
			return true
		}
	}
	return false
}
