package fleet

import (
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

// job is a job that isn't finished: it has tasks to do, or runs that may exist.
type job struct {
	spec  *workload.Job
	state workload.JobState
	// tasks holds the tasks by their name within the job. Those of an occurrence are created when it is due.
	tasks map[string]*task
	// steps holds the steps by occurrence and step number.
	steps       map[[2]int]*step
	occurrences int // number of occurrences whose tasks are created
	// open holds the numbers of those whose tasks and steps are kept, in order. The others are done.
	open    []int
	changed bool
	// estimate caches the remaining work. It is reset when a task is done and when an occurrence is due.
	estimate *estimate
	// submitted is the start of the objective, by the clock of the entry VM that accepted the job.
	submitted  time.Time
	started    bool // a run was placed
	begun      bool // a server has started a run
	copyStored bool // the row with the copy of the job exists
	// rejectedRow is the row of progress that the store last rejected, or nil. No runs are placed before heldUntil.
	rejectedRow  []byte
	heldUntil    time.Time
	beyondWeight bool // it was submitted beyond its customer's weight
	longRunning  bool // it has a step whose tasks run until it is cancelled
	labelled     bool // it has a step that requires a label
	failed       bool // a task was given up without which it is never completed
	objective    time.Duration
	row          rowBound
	activeRuns   int // runs that may exist
	unstoredRuns int // of these, runs whose intent isn't stored yet
	repeats      int // runs whose start request is repeated once that is stored
	lateStarts   int // runs that don't exist, but may still be started
}

// estimate is the estimated remaining work of a job.
type estimate struct {
	path     time.Duration // duration of the longest chain of steps
	work     float64       // in server-seconds for servers of the capacity
	load     float64       // resources that the running and pending tasks need, in servers of the capacity
	capacity workload.Resources
}

// step is one step of one occurrence of a job.
type step struct {
	spec             workload.Step
	tasks            []*task
	remaining        int // number of tasks that aren't done
	unassigned       int // of these, tasks without a run that may exist
	givenUp          int // of those that aren't done, tasks that aren't started again
	number           int
	longestRun       time.Duration        // of the runs that have done their task
	mayNeedIsolation bool                 // a server was lost under one of the tasks
	checkpoint       string               // of a gang: the last that a run has saved in this term
	recommendations  *stepRecommendations // nil if the queue needs no recommendation
	speeds           []stepSpeed          // of the latest runs, at most one for each server
	sampled          bool                 // its queue has a sample of it
}

// task is one task of a step.
type task struct {
	id         workload.TaskID
	localName  string
	job        *job
	step       *step
	record     workload.TaskRecord
	attempts   []*attempt
	lateStarts []*lateStart
	copied     bool     // it has had a copy in this term
	failedOn   []string // ids of the last servers on which it failed or stalled, or that crashed under it
	stalls     int      // runs that were stopped because they made no progress
	// invalidStarts is the number of start requests that servers refused as invalid.
	invalidStarts int
	retryAt       time.Time // before that the task isn't placed
	lostAt        time.Time // when a server was last lost under it
}

// phase is the progress of an attempt.
type phase uint8

const (
	storing   phase = iota // the intent isn't stored yet, so no request was sent
	requested              // the intent is stored, and the start request was sent or is about to be
	running                // the server confirmed the run
	restored               // read from the store, and the server hasn't reported yet
)

// attempt is the controller's record of a run that may exist on a server.
type attempt struct {
	task              *task
	runNumber         int // rises with each run of the task
	server            *server
	incarnation       int64
	phase             phase
	reserves          workload.Resources
	checkpoint        string
	startSentAt       time.Time     // when the start request was last sent
	startToken        uint64        // fencing token of the latest start request
	startRequests     int           // number of start requests that were sent
	repeated          bool          // the start request may have been sent more than once
	endedThere        bool          // the server has ended or stopped the run
	repeatUnstored    bool          // the start request is repeated once the record says so
	ticketed          bool          // the start request holds a ticket, which the next incarnation refuses
	answerStored      bool          // the stored record says that the server has started the run
	startableUntil    time.Time     // when no start request can be carried out any more, or zero if none is outstanding
	unansweredUntil   time.Time     // the same for the requests before the latest one
	untilStored       bool          // the stored record says that, so it has to be stored again before a further request
	earliestClock     time.Duration // the least that the server's clock shows at the start, unless the server has restarted
	onNextIncarnation bool          // the server had restarted before the start, and its new incarnation isn't known yet
	inFlight          bool          // a start request has no outcome yet
	awaitsReport      bool          // a report decides whether the run was started
	awaitsSince       time.Time     // when awaitsReport was set
	endsBy            time.Time     // when it has ended even if it was started late, or zero if the lease of its server covers that
	confirmedAt       time.Time     // when the server last accepted or reported the run
	startedAt         time.Time     // when the run was assigned, or confirmed by its server
	percent           int           // progress of the run, or for a long-running task its speed
	percentChangedAt  time.Time
	mark              progressMark
	rate, usualRate   float64 // its progress a second, and that of such a run elsewhere; 0 if they aren't known
	measurement       int64   // last reported, in milliseconds of tail latency for a latency-sensitive task
	pace              int     // percent of full speed, or unknownPace
	paceInFlight      bool
	paceToken         uint64 // of the last request for its pace

	accepted     bool // the server accepted a start request
	reported     bool // a report of the server listed the run
	survived     bool // a report listed the run startupTime after its start or later
	isolated     bool // the server starts no runs of other jobs
	lossRecorded bool // the loss of the server is recorded

	stopRequested bool
	stopInFlight  bool      // a stop request has no outcome yet
	stopAccepted  bool      // the server accepted the stop request
	stopTriedAt   time.Time // when a stop request was last sent or answered
	stopToken     uint64    // fencing token of the latest stop request
	stopReason    string
}

func newJob(spec *workload.Job) *job {
	return &job{
		spec: spec, state: workload.JobQueued, tasks: make(map[string]*task), steps: make(map[[2]int]*step),
		submitted: spec.Accepted(), longRunning: spec.LongRunning(), labelled: spec.RequiresLabel(), objective: spec.Objective(), row: rowBound{bytes: emptyRowBytes},
	}
}

// dependenciesDone reports whether all steps that a step depends on are done.
func (j *job) dependenciesDone(occurrence int, s *step) bool {
	for _, after := range s.spec.After() {
		if j.steps[[2]int{occurrence, after}].remaining > 0 {
			return false
		}
	}
	return true
}

// complete reports whether all tasks of all occurrences are done.
func (j *job) complete() bool {
	if j.occurrences < j.spec.Occurrences() {
		return false
	}
	for _, s := range j.steps {
		if s.remaining > 0 {
			return false
		}
	}
	return true
}

// progress returns the progress of the job as it is to be stored.
func (j *job) progress(now time.Time) workload.Progress {
	p := workload.Progress{State: j.state, Failed: j.failed}
	j.storeDoneOccurrences(&p)
	for _, st := range j.steps {
		st.store(&p, now)
	}
	slices.Sort(p.DoneSteps)
	return p
}

// store adds the tasks of a step to the progress to be stored. For a job that has ended only runs that may exist or be started late
// are stored.
func (st *step) store(p *workload.Progress, now time.Time) {
	name := st.id().String()
	if st.remaining == 0 && st.activeRuns() == 0 && !st.hasLateStarts() {
		if !p.State.Final() {
			p.DoneSteps = append(p.DoneSteps, name)
		}
		return
	}
	for _, t := range st.tasks {
		idle := len(t.attempts) == 0 && len(t.lateStarts) == 0
		if idle && (p.State.Final() || t.record.LastRun == 0 && !t.record.Done) {
			continue
		}
		if idle && t.record.Done {
			if p.DoneTasks == nil {
				p.DoneTasks = make(map[string][]int)
			}
			p.DoneTasks[name] = append(p.DoneTasks[name], t.id.Index)
			continue
		}
		if p.Tasks == nil {
			p.Tasks = make(map[string]workload.TaskRecord, len(st.tasks))
		}
		p.Tasks[t.localName] = t.stored(now)
	}
}

// id returns the id of the step within its job.
func (st *step) id() workload.StepID {
	t := st.tasks[0].id
	return workload.StepID{Occurrence: t.Occurrence, Step: t.Step}
}

// activeRuns returns the number of runs of the step that may exist.
func (st *step) activeRuns() int {
	n := 0
	for _, t := range st.tasks {
		n += len(t.attempts)
	}
	return n
}

// hasLateStarts reports whether runs of the step may be started late.
func (st *step) hasLateStarts() bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return len(t.lateStarts) > 0 })
}

// intents returns the runs whose intent isn't stored yet.
func (j *job) intents() []*attempt {
	if j.unstoredRuns == 0 {
		return nil
	}
	var intents []*attempt
	for _, t := range j.tasks {
		for _, a := range t.attempts {
			if a.phase == storing {
				intents = append(intents, a)
			}
		}
	}
	return intents
}

// unstoredRepeats returns the runs whose start request is repeated once that is stored.
func (j *job) unstoredRepeats() []*attempt {
	var repeats []*attempt
	for _, t := range j.tasks {
		for _, a := range t.attempts {
			if a.repeatUnstored {
				repeats = append(repeats, a)
			}
		}
	}
	return repeats
}

func (t *task) stored(now time.Time) workload.TaskRecord {
	r := t.record
	r.Assignments = nil
	for _, a := range t.attempts {
		answered := a.startAnswered()
		r.Assignments = append(r.Assignments, workload.Assignment{
			Server: a.server.id, VM: a.server.reg.VM, Incarnation: a.incarnation, Run: a.runNumber,
			Isolated: a.isolated, LossRecorded: a.lossRecorded, EndsByMS: a.unusualEnd(now), Answered: answered,
			Repeated: a.repeated && !answered, Ticketed: a.ticketed,
			StartableUntilMS: a.storedUntil(),
		})
	}
	r.LateStarts = t.storedLateStarts()
	return r
}

// unusualEnd returns when a run has ended without further requests, in Unix milliseconds, if the next controller doesn't wait for as
// long in any case, else 0.
func (a *attempt) unusualEnd(now time.Time) int64 {
	end := a.server.expiresAt
	if a.endsBy.After(end) {
		end = a.endsBy
	}
	if end.Sub(now) <= leaseExtensionGrace+onSlowestClock(ShortLease)+leaseMargin {
		return 0
	}
	return end.UnixMilli()
}

// isWanted reports whether the task is to be done.
func (t *task) isWanted() bool { return !t.record.Done && !t.record.GivenUp && !t.job.state.Final() }

// needsRun reports whether the task can be assigned to a server now.
func (t *task) needsRun(now time.Time) bool {
	return t.isWanted() && len(t.attempts) == 0 && !t.awaitsLateStart() && !t.retryAt.After(now) && !t.awaitsCause(now)
}

// awaitsLateStart reports whether the task isn't started as earlier requests may still be carried out. Those of a task that may have
// several runs only take room in its row.
func (t *task) awaitsLateStart() bool {
	if t.step.spec.Duplicable() && !t.step.spec.Gang() {
		return len(t.lateStarts) >= maxLateEntries
	}
	return len(t.lateStarts) > 0
}

// avoid makes the task prefer other servers than one on which it failed, or that crashed under it.
func (t *task) avoid(server string) {
	if t.failedOnServer(server) {
		return
	}
	t.failedOn = append(t.failedOn, server)
	if len(t.failedOn) > maxAvoidedServers {
		t.failedOn = t.failedOn[1:]
	}
}

func (t *task) failedOnServer(server string) bool {
	for _, s := range t.failedOn {
		if s == server {
			return true
		}
	}
	return false
}

// remaining returns the estimated remaining work of the job, in server-seconds for servers of the given capacity.
func (j *job) remaining(capacity workload.Resources) estimate {
	if j.estimate == nil || j.estimate.capacity != capacity {
		j.estimate = &estimate{path: j.remainingPath(), work: j.remainingWork(capacity), load: j.load(capacity), capacity: capacity}
	}
	return *j.estimate
}

// remainingPath returns the expected duration of the longest chain of steps that aren't done.
func (j *job) remainingPath() time.Duration {
	occurrence := max(j.occurrences-1, 0)
	return j.spec.RemainingPath(func(number int) bool {
		s, made := j.steps[[2]int{occurrence, number}]
		return made && s.remaining == 0
	})
}
