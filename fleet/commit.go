package fleet

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"
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
	sentAt  time.Time
	renews  bool
	parts   []committedPart
	writes  []provider.Write // of the parts
	size    commitSize
	ends    map[string]endNumber // the last end of a run that it stores, by server id
	resigns bool
	term    Term // the term row that it writes, if renews is set
	// suspectsOnly says that it holds only rows of a commit that the store rejected.
	suspectsOnly bool
}

// committedPart is a part of a commit, with the key and the value of its first row.
type committedPart struct {
	part  part
	key   string
	value []byte
}

// part is something that a commit stores as a whole: jobPart, requestsPart, wavePart or pendingPart.
type part interface{ part() }

// jobPart is the progress of a job, and the copy of the job if copied is set.
type jobPart struct {
	job     *job
	intents []*attempt
	repeats []*attempt // runs whose start request is repeated once that is stored
	copied  bool
}

// requestsPart is the row of recent requests for VMs, with those that are sent once it is stored. clears says that there are none.
type requestsPart struct {
	requests []vmRequest
	clears   bool
}

// wavePart is a wave, with the version of its row and its completion when the commit was sent.
type wavePart struct {
	wave     *wave
	version  uint64
	complete bool
}

// pendingPart is the number of pending jobs of a queue.
type pendingPart struct {
	queue string
	jobs  int
}

func (jobPart) part()      {}
func (requestsPart) part() {}
func (wavePart) part()     {}
func (pendingPart) part()  {}

// endNumber is the number of the end of a run. Numbers restart with each incarnation of a server.
type endNumber struct {
	incarnation int64
	number      int64
}

// commitChanges commits the changes since the last commit and renews the term if due. One transaction is in flight at a
// time. What doesn't fit into it follows in the next one.
func (s *State) commitChanges(now time.Time) {
	if s.commit != nil || s.resigned {
		return
	}
	c, all := s.gatherChanges(now)
	c.resigns = s.stopping && all && !s.startsInFlight() && len(s.vmRequests) == 0
	c.renews = c.resigns || s.renewalNeeded || now.Sub(s.renewedAt) >= renewInterval
	if len(c.writes) == 0 && !c.renews {
		s.acknowledgeEnds(c.ends, now)
		return
	}
	writes := c.writes
	if c.renews {
		s.renewalNeeded = false
		s.updateBacklog(now)
		c.term = s.nextTerm(now)
		row := c.term
		if c.resigns {
			row.Holder, row.Successor = "", s.successor
		}
		writes = append(writes, provider.NewPut(TermKey, row.Encode()))
	}
	s.commit = c
	s.rejections.last = c.suspectsOnly
	s.counters.commits.Inc(1)
	conditions := []provider.Condition{provider.NewCondition(TermKey, s.Term.Version())}
	s.emit(Commit{Transaction: provider.NewTransaction(conditions, writes)})
}

// nextTerm returns the term row of the next renewal.
func (s *State) nextTerm(now time.Time) Term {
	term := s.Term
	term.Renewals++
	term.FullForMS = s.backlog.fullFor.Milliseconds()
	term.Waits = nil
	if now.Sub(s.forecastAt) <= maxForecastDelay {
		term.Waits = s.waits
	}
	term.DurationMS = s.termDuration().Milliseconds()
	term.LeaseMS = s.leaseBound(now).Milliseconds()
	if term.Duration() > ShortTerm {
		term.LeaseMS = LongLease.Milliseconds()
	}
	return term
}

// gatherChanges returns a commit with the changes that fit, and whether it holds all changes of jobs and waves. While a row is
// searched that the store rejects, commits with suspects and without take turns.
func (s *State) gatherChanges(now time.Time) (c *commit, all bool) {
	searching := len(s.rejections.suspects) > 0
	c = &commit{sentAt: now, suspectsOnly: searching && !s.rejections.last}
	allJobs, allOthers := s.addChanges(c, now)
	for tries := 0; searching && len(c.parts) == 0 && tries < 2; tries++ {
		if c.suspectsOnly {
			clear(s.rejections.suspects) // their changes are gone
		}
		c = &commit{sentAt: now, suspectsOnly: !c.suspectsOnly}
		allJobs, allOthers = s.addChanges(c, now)
	}
	c.ends = make(map[string]endNumber)
	if allJobs {
		for v := range s.unstoredEnds {
			if s.holdsEnds(v) {
				continue
			}
			if v.lastEndReceived > v.lastEndStored {
				c.ends[v.id] = endNumber{incarnation: v.incarnation, number: v.lastEndReceived}
			}
			delete(s.unstoredEnds, v)
		}
	}
	return c, allJobs && allOthers
}

// addChanges adds the changes to a commit, the most important first. It reports whether it holds all changes of jobs, and all of
// waves and answers to start requests.
func (s *State) addChanges(c *commit, now time.Time) (allJobs, allOthers bool) {
	c.size = s.termSize(now)
	allJobs = s.addJobs(c, now)
	s.addVMRequests(c, now)
	allWaves := s.addWaves(c)
	s.addPendingJobs(c, now)
	allAnswers := s.addAnswers(c, now)
	return allJobs, allWaves && allAnswers
}

// termSize returns the size of what each commit holds: the condition on the term row, the committer's own row and the term row.
func (s *State) termSize(now time.Time) commitSize {
	row := s.nextTerm(now)
	row.Successor += s.successor
	size := entrySize(TermKey, nil).plus(entrySize(TermKey, row.Encode()))
	return size.plus(commitSize{entries: committerEntries, bytes: committerEntries * entrySize(s.EntryVM, nil).bytes})
}

// add adds a part with its rows to a commit if they fit, and reports whether it did.
func (s *State) add(c *commit, p part, writes ...provider.Write) bool {
	key := writes[0].Key()
	if s.rejections.excludes(key, c.suspectsOnly, len(c.parts)) || s.rejections.holds(writes[0], c.sentAt) {
		return false
	}
	share := 1.0
	if _, isJob := p.(jobPart); isJob {
		share = jobShare
	}
	size := c.size.plus(writesSize(writes))
	if !size.within(share) {
		return false
	}
	c.size = size
	c.parts = append(c.parts, committedPart{part: p, key: key, value: writes[0].Value()})
	c.writes = append(c.writes, writes...)
	return true
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

// addJobs adds the changed jobs to a commit, and reports whether it holds all of them.
func (s *State) addJobs(c *commit, now time.Time) (all bool) {
	all = true
	for _, j := range inCommitOrder(s.changedJobs) {
		switch s.addProgress(c, j, now) {
		case jobLeftOut:
			all = false
		case commitFull:
			return false
		case jobAdded:
		}
	}
	return all
}

// inCommitOrder returns the jobs in the order in which a commit takes them.
func inCommitOrder(jobs map[*job]bool) []*job {
	if len(jobs) == 0 {
		return nil
	}
	ordered := slices.Collect(maps.Keys(jobs))
	slices.SortFunc(ordered, func(a, b *job) int {
		return cmp.Or(a.commitPriority()-b.commitPriority(), strings.Compare(a.spec.ID(), b.spec.ID()))
	})
	return ordered
}

// jobAddition says whether a commit holds the progress of a job.
type jobAddition uint8

const (
	jobAdded jobAddition = iota
	jobLeftOut
	commitFull
)

// addProgress adds the progress of a job to a commit.
func (s *State) addProgress(c *commit, j *job, now time.Time) jobAddition {
	if s.rejections.excludes(ProgressPrefix+j.spec.ID(), c.suspectsOnly, len(c.parts)) {
		return jobLeftOut
	}
	if j.state == workload.JobQueued && j.started {
		j.state = workload.JobRunning
	}
	j.removeDoneOccurrences()
	p := j.progress(now)
	row, fits := encodeProgress(p)
	if !fits && !bytes.Equal(row, j.rejectedRow) {
		s.holdJob(j, row, now)
	}
	if bytes.Equal(row, j.rejectedRow) {
		return jobLeftOut // its ends of runs stay unstored
	}
	part := jobPart{job: j, intents: j.intents(), copied: !p.Settled() && !j.copyStored}
	if j.repeats > 0 {
		part.repeats = j.unstoredRepeats()
	}
	writes := []provider.Write{provider.NewPut(ProgressPrefix+j.spec.ID(), row)}
	switch {
	case p.Settled() && j.copyStored:
		writes = append(writes, provider.NewDelete(JobsPrefix+j.spec.ID()))
	case part.copied:
		writes = append(writes, provider.NewPut(JobsPrefix+j.spec.ID(), j.spec.Encode()))
	}
	if !s.add(c, part, writes...) {
		return commitFull
	}
	j.changed = false
	delete(s.changedJobs, j)
	j.answersAdded()
	return jobAdded
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
	klog.InfoS("Commit not applied", "reason", reason, "rows", len(c.parts))
	for id := range c.ends {
		if v, known := s.servers[id]; known {
			s.unstoredEnds[v] = true
		}
	}
	for _, p := range c.parts {
		switch p := p.part.(type) {
		case jobPart:
			s.markChanged(p.job)
		case requestsPart:
			s.vmRequests = append(p.requests, s.vmRequests...)
		case wavePart:
			p.wave.changed = true
		case pendingPart:
			s.pending.setDue(p.queue)
		}
	}
}

func (s *State) commitApplied(c *commit, version uint64, now time.Time) {
	s.rejections.stored(c.parts)
	s.committed = version
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
	for _, p := range c.parts {
		s.partStored(p.part, now)
	}
	s.acknowledgeEnds(c.ends, now)
	var settled []string
	for _, p := range c.parts {
		if p, isJob := p.part.(jobPart); isJob && s.dropFinishedJob(p.job) {
			settled = append(settled, p.job.spec.ID())
		}
	}
	if len(settled) > 0 {
		s.emit(JobsSettled{IDs: settled, Version: version})
	}
}

// partStored does what waited until a part of a commit is stored.
func (s *State) partStored(p part, now time.Time) {
	switch p := p.(type) {
	case jobPart:
		p.job.copyStored = p.job.copyStored || p.copied
		for _, a := range p.intents {
			s.intentStored(a, now)
		}
		for _, a := range p.repeats {
			s.repeatStored(a, now)
		}
	case requestsPart:
		s.sendVMRequests(p, now)
	case wavePart:
		if p.version == p.wave.spec.Version {
			p.wave.storedComplete = p.complete
		}
	case pendingPart:
		s.pending.stored[p.queue] = p.jobs
	}
}

// intentStored sends the start request of a run whose intent is stored.
func (s *State) intentStored(a *attempt, now time.Time) {
	a.task.job.unstoredRuns--
	a.phase = requested
	if a.stopRequested || !s.acceptsStarts(a.server) {
		s.removeAttempt(a) // its start request was never sent
		return
	}
	s.sendStart(a, now)
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
