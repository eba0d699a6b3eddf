package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

// job is a job that isn't over: it has tasks to do, or runs that may exist.
type job struct {
	spec  *workload.Job
	state workload.JobState
	// tasks by their name in the job. Those of an occurrence are made when it is due.
	tasks map[string]*task
	// steps by occurrence and step.
	steps   map[[2]int]*step
	made    int // occurrences whose tasks exist
	changed bool
	// estimate is what is left of the job, until a task of it is done.
	estimate *estimate
	// submitted is when the objective starts to count, by this entry VM's clock.
	submitted time.Time
	started   bool
	lasting   bool
	objective time.Duration
	live      int // runs that may exist
	storing   int // of these, runs whose intent isn't stored
}

// estimate is what is left of a job.
type estimate struct {
	path time.Duration // the longest chain of steps
	work float64       // in seconds of a whole server of the given capacity
	of   workload.Resources
}

// step is a step of one occurrence.
type step struct {
	spec   workload.Step
	tasks  []*task
	left   int // tasks that aren't done
	idle   int // of these, tasks without a run
	number int
	advice *advice // of the recommendation service, if the queue needs it
}

// task is a task that has to be done.
type task struct {
	id       workload.TaskID
	local    string
	job      *job
	step     *step
	record   workload.TaskRecord
	attempts []*attempt
	failedOn []string // servers on which it failed
	freeAt   time.Time
}

// phase is how far an attempt is.
type phase uint8

const (
	storing  phase = iota // the intent isn't stored yet, so nothing was sent
	ordered               // the intent is stored, and the order was sent or is about to be
	running               // the server said that it runs
	restored              // the intent was read from the store, and the server hasn't reported yet
)

// attempt is a run of a task that may exist.
type attempt struct {
	task        *task
	run         int
	server      *server
	incarnation int64
	phase       phase
	reserves    workload.Resources
	checkpoint  string
	sent        time.Time // of the last order
	tries       int
	inFlight    bool // an order to start has no outcome yet
	answered    time.Time
	since       time.Time // when the run was seen first
	percent     int
	percentAt   time.Time
	figure      int64
	pace        int
	pacing      bool

	stopWanted bool
	stopSent   bool // an order to stop is under way
	stopped    bool // the server took the order to stop
	stopAt     time.Time
	reason     string
}

func newJob(spec *workload.Job) *job {
	return &job{
		spec: spec, state: workload.JobQueued, tasks: make(map[string]*task), steps: make(map[[2]int]*step),
		submitted: spec.Accepted(), lasting: spec.LongRunning(), objective: spec.Objective(),
	}
}

// makeOccurrences makes the tasks of the occurrences that are due.
func (j *job) makeOccurrences(now time.Time) {
	for j.made < j.spec.Occurrences() && !j.spec.DueTime(j.made).After(now) {
		j.makeOccurrence(j.made)
		j.made++
	}
}

// makeStored makes the tasks of stored occurrences. They may not be due yet by this entry VM's clock.
func (j *job) makeStored(p workload.Progress) {
	last := -1
	for local := range p.Tasks {
		if id, err := workload.ParseTaskID(j.spec.ID() + "." + local); err == nil {
			last = max(last, id.Occurrence)
		}
	}
	steps := slices.Collect(maps.Keys(p.DoneTasks))
	for _, name := range append(steps, p.DoneSteps...) {
		if id, err := workload.ParseStepID(name); err == nil {
			last = max(last, id.Occurrence)
		}
	}
	for j.made <= min(last, j.spec.Occurrences()-1) {
		j.makeOccurrence(j.made)
		j.made++
	}
}

func (j *job) makeOccurrence(occurrence int) {
	for number, spec := range j.spec.Steps() {
		s := &step{spec: spec, left: spec.Count(), idle: spec.Count(), number: number}
		for index := range spec.Count() {
			id := workload.TaskID{Job: j.spec.ID(), Occurrence: occurrence, Step: number, Index: index}
			t := &task{id: id, local: id.LocalName(), job: j, step: s}
			s.tasks = append(s.tasks, t)
			j.tasks[t.local] = t
		}
		j.steps[[2]int{occurrence, number}] = s
	}
}

// mayStart reports whether all steps before are done.
func (j *job) mayStart(occurrence int, s *step) bool {
	for _, after := range s.spec.After() {
		if j.steps[[2]int{occurrence, after}].left > 0 {
			return false
		}
	}
	return true
}

// complete reports whether all tasks are done.
func (j *job) complete() bool {
	if j.made < j.spec.Occurrences() {
		return false
	}
	for _, s := range j.steps {
		if s.left > 0 {
			return false
		}
	}
	return true
}

// progress returns what is stored of the job.
func (j *job) progress() workload.Progress {
	p := workload.Progress{State: j.state}
	for _, st := range j.steps {
		st.store(&p)
	}
	slices.Sort(p.DoneSteps)
	if !p.Settled() {
		p.Job = j.spec.Encode()
	}
	return p
}

// store adds the tasks of a step to the stored progress. Of a job that has ended only runs that may exist matter.
func (st *step) store(p *workload.Progress) {
	name := st.id().String()
	if st.left == 0 && st.live() == 0 {
		if !p.State.Final() {
			p.DoneSteps = append(p.DoneSteps, name)
		}
		return
	}
	for _, t := range st.tasks {
		if len(t.attempts) == 0 && (p.State.Final() || t.record.LastRun == 0 && !t.record.Done) {
			continue
		}
		if len(t.attempts) == 0 && t.record.Done {
			if p.DoneTasks == nil {
				p.DoneTasks = make(map[string][]int)
			}
			p.DoneTasks[name] = append(p.DoneTasks[name], t.id.Index)
			continue
		}
		if p.Tasks == nil {
			p.Tasks = make(map[string]workload.TaskRecord, len(st.tasks))
		}
		p.Tasks[t.local] = t.stored()
	}
}

// id names the step within its job.
func (st *step) id() workload.StepID {
	t := st.tasks[0].id
	return workload.StepID{Occurrence: t.Occurrence, Step: t.Step}
}

// live returns the number of runs of the step that may exist.
func (st *step) live() int {
	n := 0
	for _, t := range st.tasks {
		n += len(t.attempts)
	}
	return n
}

// intents returns the runs whose intent isn't stored.
func (j *job) intents() []*attempt {
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

func (t *task) stored() workload.TaskRecord {
	r := t.record
	r.Assignments = nil
	for _, a := range t.attempts {
		r.Assignments = append(r.Assignments, workload.Assignment{
			Server: a.server.id, Incarnation: a.incarnation, Run: a.run,
		})
	}
	return r
}

// wants reports whether the task waits for a start.
func (t *task) wants(now time.Time) bool {
	return !t.record.Done && len(t.attempts) == 0 && !t.freeAt.After(now) && !t.job.state.Final()
}

func (t *task) failedThere(server string) bool {
	for _, s := range t.failedOn {
		if s == server {
			return true
		}
	}
	return false
}

// rest returns what is left of the job.
func (j *job) rest(capacity workload.Resources) estimate {
	if j.estimate == nil || j.estimate.of != capacity {
		j.estimate = &estimate{path: j.remainingPath(), work: j.work(capacity), of: capacity}
	}
	return *j.estimate
}

// remainingPath is the expected duration of the longest chain of steps that are left.
func (j *job) remainingPath() time.Duration {
	occurrence := max(j.made-1, 0)
	return j.spec.RemainingPath(func(number int) bool {
		s, made := j.steps[[2]int{occurrence, number}]
		return made && s.left == 0
	})
}
