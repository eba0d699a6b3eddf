// Package fleet is the control state of the entry VM that is in control of the fleet: jobs, backend servers, and the
// runs of tasks on them. It is a function of events and time, which returns the effects to carry out.
//
// A run is stored as an intent before its order is sent, and an end is stored before the server may forget it. All
// writes are conditional on the term row, so that only one entry VM at a time changes them.
package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// State is the control state of one term. Its exported fields are set before Begin.
type State struct {
	// Self names the entry VM.
	Self string
	// Term is the term row that this entry VM wrote, Token the fencing token of its orders.
	Term  Term
	Token uint64
	// TermSent is when the term was asked for.
	TermSent time.Time
	// LeaseBefore bounds the leases that the controller before granted.
	LeaseBefore time.Duration
	// DutyPause is the shortest time between orders of two entry VMs for one VM.
	DutyPause time.Duration
	// MaintenanceTime is how long the maintenance of a VM takes, MoveTime a move to another pool.
	MaintenanceTime, MoveTime time.Duration
	// Scope receives counters.
	Scope tally.Scope

	began       time.Time
	now         time.Time // of the event at hand
	directory   *directory.Snapshot
	zonesOut    map[string]bool
	jobs        map[string]*job
	cancelled   map[string]bool // wishes to cancel jobs that aren't known
	servers     map[string]*server
	customers   map[string]workload.Resources // what customers have running
	waves       map[string]*wave
	due         map[string]bool  // VMs that wait for their maintenance
	moves       map[string]*move // by VM
	poolsLogged time.Time
	scarce      bool      // a pool lacks servers
	arrivals    workRates // of work, by pool
	departures  workRates // of work that is done, by pool
	vmOrders    []vmOrder
	ordered     map[string]time.Time // VMs ordered lately, and when
	// pausedUntil tells when VMs that the controller before ordered lately may be ordered again.
	pausedUntil map[string]time.Time
	short       map[string]int // servers that tasks that last need beside those of the pool, by pool
	overLimit   map[string]int // tasks that waited for their customer's limit at the last placement, by pool
	vms         map[string]backend.VM
	vmsAsked    time.Time
	listingVMs  bool
	sequence    uint64
	schedule    bool            // something changed that lets work start in any pool
	dirty       map[string]bool // pools in which something changed that lets work start
	placedAt    time.Time
	sorted      []*server     // all servers by id, or nil after a change
	changed     map[*job]bool // jobs that have to be stored
	stopping    bool
	released    bool
	deposed     bool
	termUntil   time.Time
	renewedAt   time.Time
	longGranted time.Time // when a long lease was granted last
	commit      *commit
	commitTook  time.Duration // of the last commit
	statusAt    time.Time
	statusKnown map[string]int // waiting jobs by queue, as they were stored last
	adviceCall  *adviceCall    // the call of the recommendation service under way
	adviceAt    time.Time      // when it may be called again
	effects     []Effect
	counters    counters
}

type counters struct {
	starts, ends, failures, lost, cancels, commits tally.Counter
	waiting                                        tally.Gauge
}

// Begin prepares the state.
func (s *State) Begin(now time.Time) {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	s.counters = counters{
		starts: s.Scope.Counter("starts"), ends: s.Scope.Counter("ends"), failures: s.Scope.Counter("failed-runs"),
		lost: s.Scope.Counter("lost-runs"), cancels: s.Scope.Counter("cancels"), commits: s.Scope.Counter("commits"),
		waiting: s.Scope.Gauge("waiting-jobs"),
	}
	if s.LeaseBefore == 0 {
		s.LeaseBefore = LongLease
	}
	s.began = now
	s.zonesOut = make(map[string]bool)
	s.jobs = make(map[string]*job)
	s.cancelled = make(map[string]bool)
	s.servers = make(map[string]*server)
	s.dirty = make(map[string]bool)
	s.changed = make(map[*job]bool)
	s.customers = make(map[string]workload.Resources)
	s.waves = make(map[string]*wave)
	s.moves = make(map[string]*move)
	s.vms = make(map[string]backend.VM)
	s.overLimit = make(map[string]int)
	s.short = make(map[string]int)
	s.arrivals, s.departures = make(workRates), make(workRates)
	s.ordered = make(map[string]time.Time)
	s.pausedUntil = make(map[string]time.Time)
	s.statusKnown = make(map[string]int)
	s.statusAt = now.Add(firstStatus - statusInterval)
	s.termUntil = s.TermSent.Add(s.Term.Duration())
	s.renewedAt = s.TermSent
}

// Handle takes in an event. Settle returns what to do.
func (s *State) Handle(e Event, now time.Time) {
	if s.deposed {
		return
	}
	s.now = now
	switch e := e.(type) {
	case Tick:
		s.tick(now)
	case JobArrived:
		s.addJob(e.Job, now)
	case CancelArrived:
		s.cancel(e.ID, now)
	case OperationArrived:
		s.operate(e.Operation, now)
	case ServerRegistered:
		s.register(e.Registration, now)
	case ServerUnregistered:
		s.unregister(e.ID)
	case LookEnded:
		s.looked(e, now)
	case StartEnded:
		s.startEnded(e, now)
	case StopEnded:
		s.stopEnded(e, now)
	case CommitEnded:
		s.committed(e.Outcome, now)
	case VMsListed:
		s.listed(e)
	case MaintenanceEnded:
		s.maintenanceEnded(e, now)
	case VMMoveEnded:
		s.moveEnded(e, now)
	case Advised:
		s.advised(e, now)
	case PaceEnded:
		s.paceEnded(e)
	case WaveTold:
		s.waveTold(e)
	case Stopping:
		s.stopping = true
	}
}

// Settle returns the effects of all events that were handled since the last call. It is called once the events at hand
// are handled.
func (s *State) Settle(now time.Time) []Effect {
	if !s.deposed {
		s.placeIfDue(now)
		s.look(now)
		s.flush(now)
	}
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// mayStart reports whether this entry VM is surely in control, so that new runs may be ordered.
func (s *State) mayStart(now time.Time) bool { return !s.stopping && now.Before(s.termUntil) }

func (s *State) tick(now time.Time) {
	s.schedule = true
	for _, j := range s.jobs {
		if j.made < j.spec.Occurrences() {
			j.makeOccurrences(now)
		}
	}
	for _, v := range s.allServers() {
		if len(v.attempts) > 0 && v.silent() && now.After(v.expiresAt) {
			s.abandon(v, now, "lease-expired")
		}
		s.watchRuns(v, now)
		s.pace(v, now)
	}
	s.listVMs(now)
	s.upkeep(now)
	s.balance(now)
}

func (s *State) depose(reason string) {
	if s.deposed {
		return
	}
	s.deposed = true
	klog.InfoS("Control lost", "vm", s.Self, "token", s.Token, "reason", reason)
	s.emit(Deposed{Reason: reason})
}

func (s *State) operate(o directory.Operation, now time.Time) {
	switch o := o.(type) {
	case directory.ConfigurationPublished:
		if s.directory == nil || o.Snapshot.Version() > s.directory.Version() {
			s.directory = o.Snapshot
		}
	case directory.ZoneEvacuated:
		s.zonesOut[o.Zone] = true
	case directory.ZoneRestored:
		delete(s.zonesOut, o.Zone)
	case directory.Wave:
		s.addWave(o, now)
	case directory.WaveCancelled:
		delete(s.waves, o.Name)
	}
	s.schedule = true
}

// Restore takes in the stored progress of jobs. It is called after Begin and before the first event, with the stored
// jobs, and returns the number of jobs that aren't over.
func (s *State) Restore(jobs []*workload.Job, progress map[string]workload.Progress, rows []provider.Row, now time.Time) int {
	for _, spec := range jobs {
		p, known := progress[spec.ID()]
		if known && p.Settled() {
			continue
		}
		j := newJob(spec)
		j.makeOccurrences(now)
		s.jobs[spec.ID()] = j
		if known {
			s.restoreJob(j, p, now)
		}
	}
	s.restoreWaves(rows)
	s.schedule = true
	return len(s.jobs)
}

func (s *State) restoreJob(j *job, p workload.Progress, now time.Time) {
	j.state = p.State
	j.started = p.State != workload.JobQueued
	j.makeStored(p)
	s.restoreDone(j, p)
	for local, record := range p.Tasks {
		t, made := j.tasks[local]
		if !made {
			klog.InfoS("Stored task isn't part of its job", "job", j.spec.ID(), "task", local)
			continue
		}
		t.record = record
		t.record.Assignments = nil
		if record.Done {
			t.step.left--
			t.step.idle--
		}
		for _, a := range record.Assignments {
			v := s.server(a.Server)
			if v.incarnation == 0 {
				v.incarnation = a.Incarnation
			}
			before := &attempt{run: a.Run, phase: restored, incarnation: a.Incarnation, since: now}
			s.addAttempt(t, v, before)
			if t.step.spec.BestEffort() {
				before.pace = unknownPace
			}
		}
	}
	if j.state.Final() {
		for _, t := range j.tasks {
			for _, a := range t.attempts {
				s.wantStop(a, "job-ended")
			}
		}
	}
}

// restoreDone takes in the tasks that are stored as done without a record of their own.
func (s *State) restoreDone(j *job, p workload.Progress) {
	done := make(map[string][]int, len(p.DoneSteps)+len(p.DoneTasks))
	for name, indexes := range p.DoneTasks {
		done[name] = indexes
	}
	for _, name := range p.DoneSteps {
		done[name] = nil // all
	}
	for name, indexes := range done {
		id, err := workload.ParseStepID(name)
		st, made := j.steps[[2]int{id.Occurrence, id.Step}]
		if err != nil || !made {
			klog.InfoS("Stored step isn't part of its job", "job", j.spec.ID(), "step", name)
			continue
		}
		for _, t := range st.tasks {
			if indexes == nil || slices.Contains(indexes, t.id.Index) {
				t.record.Done = true
				st.left--
				st.idle--
			}
		}
	}
}

// restoredExpiry is when runs that an earlier controller started have surely ended, if their server can't be reached.
// The earlier controller's term was over when this one began, and it extends leases only for a while after that.
func (s *State) restoredExpiry() time.Time {
	return s.began.Add(keepAlive + onSlowestClock(s.LeaseBefore) + leaseSlack)
}

// allServers returns the servers by id.
func (s *State) allServers() []*server {
	if s.sorted == nil {
		s.sorted = make([]*server, 0, len(s.servers))
		for _, v := range s.servers {
			s.sorted = append(s.sorted, v)
		}
		slices.SortFunc(s.sorted, func(a, b *server) int { return strings.Compare(a.id, b.id) })
	}
	return s.sorted
}

func (s *State) dropServer(v *server) {
	delete(s.servers, v.id)
	s.sorted = nil
}

// change marks a job to be stored.
func (s *State) change(j *job) {
	j.changed = true
	s.changed[j] = true
}

func (s *State) server(id string) *server {
	v, ok := s.servers[id]
	if !ok {
		v = newServer(id)
		v.expiresAt = s.restoredExpiry()
		s.servers[id] = v
		s.sorted = nil
	}
	return v
}

// addAttempt records a run that may exist from now on.
func (s *State) addAttempt(t *task, v *server, a *attempt) {
	a.task, a.server, a.reserves, a.pace = t, v, t.step.spec.Reserves(), fullPace
	if len(t.attempts) == 0 && !t.record.Done {
		t.step.idle--
	}
	t.attempts = append(t.attempts, a)
	t.record.LastRun = max(t.record.LastRun, a.run)
	v.attempts[backend.Run{Task: t.id, Number: a.run}] = a
	v.reserved = v.reserved.Plus(a.reserves)
	t.job.live++
	if a.phase == storing {
		t.job.storing++
	}
	customer := t.job.spec.Customer()
	s.customers[customer] = s.customers[customer].Plus(t.step.spec.Requests())
}

// removeAttempt records that a run doesn't exist any more.
func (s *State) removeAttempt(a *attempt) {
	t, v := a.task, a.server
	for i, other := range t.attempts {
		if other == a {
			t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
			break
		}
	}
	if len(t.attempts) == 0 && !t.record.Done {
		t.step.idle++
	}
	delete(v.attempts, a.id())
	v.reserved = v.reserved.Minus(a.reserves)
	v.idleSince = s.now
	t.job.live--
	if a.phase == storing {
		t.job.storing--
	}
	s.change(t.job)
	customer := t.job.spec.Customer()
	s.customers[customer] = s.customers[customer].Minus(t.step.spec.Requests())
	s.dirty[v.reg.Pool] = true
	if a.checkpoint != "" {
		t.record.Checkpoint = a.checkpoint
	}
	if !v.registered && len(v.attempts) == 0 {
		s.dropServer(v)
	}
}

func (a *attempt) id() backend.Run { return backend.Run{Task: a.task.id, Number: a.run} }
