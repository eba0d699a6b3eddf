package fleet

import (
	"bytes"
	"encoding/json"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Prefixes of the keys of the rows that the controller writes. The first two are followed by a job id, the others by a
// queue name and a wave name. JobsPrefix is of copies of unsettled jobs: with them a new controller learns of all runs from
// one partition of the store, even if the partition with the job's own row can't be read.
const (
	ProgressPrefix    = "progress/"
	JobsPrefix        = "specs/"
	PendingJobsPrefix = "waiting/"
	WavesPrefix       = "waves/"
)

// commit is a transaction in flight, with what to do once its outcome is known.
type commit struct {
	sentAt time.Time
	renews bool
	jobs   []*job
	// rows are the rows of progress of jobs. jobsOnly says that the transaction holds no other rows but the term.
	rows     [][]byte
	jobsOnly bool
	copied   []*job // jobs whose copy it stores
	intents  []*attempt
	repeats  []*attempt // runs whose start request is repeated after the commit
	waves    []committedWave
	ends     map[string]endNumber // the last end of a run that it stores, by server id
	resigns  bool
	term     Term // the term row that it writes, if renews is set

	vmRequests       []vmRequest
	clearsVMRequests bool // it stores that there are no recent requests for VMs
}

// endNumber is the number of the end of a run. Numbers restart with each incarnation of a server.
type endNumber struct {
	incarnation int64
	number      int64
}

// commitChanges commits the changes since the last commit and renews the term if due. One transaction is in flight at a
// time.
func (s *State) commitChanges(now time.Time) {
	if s.commit != nil || s.resigned {
		return
	}
	c := &commit{sentAt: now, ends: make(map[string]endNumber)}
	writes, all := s.jobWrites(c, now)
	c.jobsOnly = (len(writes) > 0 && s.commitLimit > 0) || now.Before(s.otherRowsHeldUntil)
	if !c.jobsOnly {
		writes = append(writes, s.waveWrites(c)...)
		writes = append(writes, s.statusWrites(now)...)
		writes = append(writes, s.vmRequestsWrite(c, now)...)
	}
	if all {
		for v := range s.unstoredEnds {
			if v.lastEndReceived > v.lastEndStored {
				c.ends[v.id] = endNumber{incarnation: v.incarnation, number: v.lastEndReceived}
			}
		}
		clear(s.unstoredEnds)
	}
	c.resigns = s.stopping && all && !c.jobsOnly && !s.startsInFlight() && len(s.vmRequests) == 0
	c.renews = c.resigns || s.renewalNeeded || now.Sub(s.renewedAt) >= renewInterval
	if len(writes) == 0 && !c.renews {
		s.acknowledgeEnds(c.ends, now)
		return
	}
	if c.renews {
		s.renewalNeeded = false
		term := s.Term
		term.Renewals++
		s.updateBacklog(now)
		term.FullForMS = s.backlog.fullFor.Milliseconds()
		term.DurationMS = s.termDuration().Milliseconds()
		term.LeaseMS = s.leaseBound(now).Milliseconds()
		if term.Duration() > ShortTerm {
			term.LeaseMS = LongLease.Milliseconds()
		}
		c.term = term
		if c.resigns {
			term.Holder, term.Successor = "", s.successor
		}
		writes = append(writes, provider.NewPut(TermKey, term.Encode()))
	}
	s.commit = c
	s.counters.commits.Inc(1)
	conditions := []provider.Condition{provider.NewCondition(TermKey, s.Term.Version())}
	s.emit(Commit{Transaction: provider.NewTransaction(conditions, writes)})
}

// termDuration returns the duration of the next term, by how fast the store was at the last commit.
func (s *State) termDuration() time.Duration {
	if s.lastCommitDuration >= slowRenewalThreshold {
		return LongTerm
	}
	return ShortTerm
}

// startsInFlight reports whether the outcome of a start request is outstanding.
func (s *State) startsInFlight() bool {
	for _, v := range s.allServers() {
		for _, a := range v.attempts {
			if a.inFlight {
				return true
			}
		}
	}
	return false
}

// commitPriority orders jobs whose rows don't all fit into one commit, which happens while the store is slow. Jobs with
// runs whose intent has to be stored before the start come first, then jobs that have ended. The lowest comes first.
func (j *job) commitPriority() int {
	switch {
	case j.unstoredRuns > 0:
		return 0
	case j.state.Final():
		return 1
	}
	return 2
}

func (s *State) jobWrites(c *commit, now time.Time) (writes []provider.Write, all bool) {
	if len(s.changedJobs) == 0 {
		return nil, true
	}
	changed := make([]*job, 0, len(s.changedJobs))
	for j := range s.changedJobs {
		changed = append(changed, j)
	}
	sort.Slice(changed, func(a, b int) bool {
		if x, y := changed[a].commitPriority(), changed[b].commitPriority(); x != y {
			return x < y
		}
		return changed[a].spec.ID() < changed[b].spec.ID()
	})
	all = true
	for _, j := range changed {
		if len(writes) >= maxRowsPerCommit || (s.commitLimit > 0 && len(c.jobs) >= s.commitLimit) {
			return writes, false
		}
		if j.state == workload.JobQueued && j.started {
			j.state = workload.JobRunning
		}
		p := j.progress(now)
		row := p.Encode()
		if bytes.Equal(row, j.rejectedRow) {
			all = false
			continue // its ends of runs stay unstored
		}
		j.changed = false
		delete(s.changedJobs, j)
		if j.unstoredRuns > 0 {
			c.intents = append(c.intents, j.intents()...)
		}
		if j.repeats > 0 {
			c.repeats = append(c.repeats, j.unstoredRepeats()...)
		}
		c.jobs, c.rows = append(c.jobs, j), append(c.rows, row)
		writes = append(writes, provider.NewPut(ProgressPrefix+j.spec.ID(), row))
		switch {
		case p.Settled() && j.copyStored:
			writes = append(writes, provider.NewDelete(JobsPrefix+j.spec.ID()))
		case !p.Settled() && !j.copyStored:
			writes = append(writes, provider.NewPut(JobsPrefix+j.spec.ID(), j.spec.Encode()))
			c.copied = append(c.copied, j)
		}
	}
	return writes, all
}

// statusWrites returns the writes of the number of pending jobs for each queue in which it changed. Until a new controller
// knows all jobs, the rows of the previous one stay.
func (s *State) statusWrites(now time.Time) []provider.Write {
	if !s.jobsRead || now.Sub(s.statusWrittenAt) < statusInterval {
		return nil
	}
	s.statusWrittenAt = now
	pending := make(map[string]int)
	total := 0
	for _, j := range s.jobs {
		if !j.begun && !j.state.Final() {
			pending[j.spec.Queue()]++
			total++
		}
	}
	s.counters.pending.Update(float64(total))
	for queue := range s.pendingStored {
		pending[queue] += 0
	}
	var writes []provider.Write
	for queue, n := range pending {
		if known, stored := s.pendingStored[queue]; stored && known == n {
			continue
		}
		s.pendingStored[queue] = n
		data, err := json.Marshal(map[string]int{"jobs": n})
		if err != nil {
			panic(err) // a map of numbers can always be encoded
		}
		writes = append(writes, provider.NewPut(PendingJobsPrefix+queue, data))
	}
	return writes
}

// DecodePendingJobs decodes the row with the number of pending jobs of a queue.
func DecodePendingJobs(row provider.Row) (int, error) {
	var w map[string]int
	err := json.Unmarshal(row.Value(), &w)
	return w["jobs"], err
}

func (s *State) commitEnded(outcome provider.CommitOutcome, now time.Time) {
	c := s.commit
	s.commit = nil
	if c == nil {
		return
	}
	s.lastCommitDuration = now.Sub(c.sentAt)
	switch o := outcome.(type) {
	case provider.Committed:
		s.commitApplied(c, o.Version(), now)
	case provider.Conflict:
		s.depose("term-row-changed")
	case provider.Rejected:
		s.commitRejected(c, o.Reason(), now)
	case provider.Unavailable:
		s.commitNotApplied(c, o.Reason())
	case provider.OutcomeUnknown:
		s.depose("commit-unknown: " + o.Reason())
	}
}

func (s *State) commitNotApplied(c *commit, reason string) {
	klog.InfoS("Commit not applied", "reason", reason, "jobs", len(c.jobs))
	for id := range c.ends {
		if v, known := s.servers[id]; known {
			s.unstoredEnds[v] = true
		}
	}
	for _, j := range c.jobs {
		s.markChanged(j)
	}
	for _, w := range c.waves {
		w.wave.changed = true
	}
	s.vmRequests = append(c.vmRequests, s.vmRequests...)
	s.pendingStored = make(map[string]int)
}

// commitRejected searches for the row that the store rejects: the next commits hold jobs only, and then fewer and fewer, until one
// with a single job is rejected. The runs of this job that aren't stored are given up, and it gets no others for a while. If no
// job is at fault, the rows of other kinds are held back for a while.
func (s *State) commitRejected(c *commit, reason string, now time.Time) {
	s.commitNotApplied(c, reason)
	switch {
	case !c.jobsOnly:
		klog.ErrorS(nil, "The store rejects a commit", "reason", reason, "jobs", len(c.jobs), "waves", len(c.waves),
			"vm-requests", len(c.vmRequests))
		s.otherRowsHeldUntil = now.Add(rejectedRowPause)
		return
	case len(c.jobs) != 1:
		s.commitLimit = max(1, len(c.jobs)/2)
		return
	}
	s.otherRowsHeldUntil = time.Time{}
	j := c.jobs[0]
	klog.ErrorS(nil, "The store rejects the progress of a job", "job", j.spec.ID(), "bytes", len(c.rows[0]), "reason", reason,
		"unstored-runs", j.unstoredRuns)
	s.counters.rejected.Inc(1)
	j.rejectedRow, j.heldUntil = c.rows[0], now.Add(rejectedRowPause)
	for _, a := range j.intents() {
		s.removeAttempt(a)
	}
}

func (s *State) commitApplied(c *commit, version uint64, now time.Time) {
	if s.commitLimit *= 2; s.commitLimit >= maxRowsPerCommit {
		s.commitLimit = 0
	}
	if len(c.jobs) == 0 {
		s.commitLimit = 0
	}
	if c.renews {
		s.Term = c.term.WithVersion(version)
		s.renewedAt = c.sentAt
		s.termEndsAt = c.sentAt.Add(c.term.Duration())
	}
	if c.resigns {
		s.resigned = true
		s.depose("released")
		return
	}
	for _, a := range c.intents {
		a.task.job.unstoredRuns--
		a.phase = requested
		if a.stopRequested || !s.acceptsStarts(a.server) {
			s.removeAttempt(a) // its start request was never sent
			continue
		}
		s.sendStart(a, now)
	}
	for _, a := range c.repeats {
		s.repeatStored(a, now)
	}
	for _, j := range c.copied {
		j.copyStored = true
	}
	for _, w := range c.waves {
		if w.version == w.wave.spec.Version {
			w.wave.storedComplete = w.complete
		}
	}
	s.sendVMRequests(c, now)
	s.acknowledgeEnds(c.ends, now)
	var settled []string
	for _, j := range c.jobs {
		if s.dropFinishedJob(j) {
			settled = append(settled, j.spec.ID())
		}
	}
	if len(settled) > 0 {
		s.emit(JobsSettled{IDs: settled, Version: version})
	}
}

// acknowledgeEnds records which ends of runs are stored, so that the next poll lets the servers discard them.
func (s *State) acknowledgeEnds(ends map[string]endNumber, now time.Time) {
	for id, last := range ends {
		v, known := s.servers[id]
		if known && last.incarnation == v.incarnation && last.number > v.lastEndStored {
			v.lastEndStored = last.number
			s.pollAt(v, earlier(v.nextPollAt, now.Add(s.pollInterval())))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
