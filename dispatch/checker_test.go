package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/provider"
)

const (
	// inForceBound is the time limit within which a configuration change is in force on every entry VM (R27).
	inForceBound = 13 * time.Second
	// leavingBound is how long a backend server that is leaving may still get work after the VM list shows it as
	// leaving (R9).
	leavingBound = 3 * time.Second
	// drainBound is the time limit of a planned stop (R10). It exceeds the longest deadline of a call and the longest
	// run time in the simulation.
	drainBound = 30 * time.Second
	// forcedAuthor is the author of changes that override the availability budgets. The checker of R1 ignores the VMs
	// and zones that this author took out.
	forcedAuthor = "forced"
)

// taskStart is the start of a task on a backend server. DecidedAt is the time at which the control state of the entry
// VM emitted the Run, and config its configuration at that time.
type taskStart struct {
	startedAt, decidedAt time.Time
	entryVM, server      string
	task                 provider.Task
	config               *catalogue.Configuration
}

// submission is the submission of a request to an entry VM. A request may be submitted several times.
type submission struct {
	entryVM      string
	request      dispatch.Request
	submittedAt  time.Time
	idempotent   bool
	received     bool             // by the control state
	disconnected bool             // the connection was closed before the reply
	outcome      dispatch.Outcome // nil before the reply
}

// checker observes the whole simulation and checks the requirements R1 to R11 of docs/design.md. It also checks
// liveness: each call is answered and each accepted job ends.
type checker struct {
	sim                 *simulation
	committed           *catalogue.Configuration // the configuration in the table
	epochs              map[string]uint64        // of the last lease that was granted, by backend server
	keys                map[string][]string      // ids by team
	submissions         []*submission
	starts              []taskStart
	catalogueHistory    []committedCatalogue
	leavingAt           map[string]time.Time // by backend server
	zoneChangeVersion   map[string]uint64    // configuration version that last took the zone out or returned it, by zone
	revocationVersion   map[string]uint64    // configuration version that revoked the key, by key id
	zoneOutInForceAt    map[string]time.Time // by zone
	revocationInForceAt map[string]time.Time // by key id
	highestInForce      uint64               // highest version that an entry VM reported as in force
	violations          map[string]string    // the first one of each requirement
	trace               []string
}

// committedCatalogue is a catalogue and the time at which it was committed.
type committedCatalogue struct {
	committedAt time.Time
	catalogue   *catalogue.Catalogue
}

func newChecker(sm *simulation) *checker {
	return &checker{
		sim: sm, committed: catalogue.NewConfiguration(), epochs: make(map[string]uint64), keys: make(map[string][]string),
		leavingAt:         make(map[string]time.Time),
		zoneChangeVersion: make(map[string]uint64), revocationVersion: make(map[string]uint64),
		zoneOutInForceAt: make(map[string]time.Time), revocationInForceAt: make(map[string]time.Time),
		violations: make(map[string]string),
	}
}

// addViolation stores the first violation of a requirement.
func (c *checker) addViolation(requirement, format string, args ...any) {
	if _, ok := c.violations[requirement]; ok {
		return
	}
	at := c.sim.now().Sub(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC))
	c.violations[requirement] = fmt.Sprintf("%s after %v: ", requirement, at) + fmt.Sprintf(format, args...)
}

// tracef adds a line to the trace that failed properties print.
func (c *checker) tracef(format string, args ...any) {
	at := c.sim.now().Sub(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC))
	c.trace = append(c.trace, fmt.Sprintf("%8.3f ", at.Seconds())+fmt.Sprintf(format, args...))
}

// observeCommit checks the configuration after a transaction of the table that changed it.
func (c *checker) observeCommit(t provider.Transaction, o provider.CommitOutcome) {
	if _, ok := o.(provider.Committed); !ok {
		return
	}
	for _, w := range t.Writes() {
		if strings.HasPrefix(w.Key(), catalogue.RowPrefix) {
			c.configurationCommitted()
			return
		}
	}
}

// configurationCommitted reads the configuration from the table and checks it.
func (c *checker) configurationCommitted() {
	rows := c.sim.platform.Table.Scan(context.Background(), catalogue.RowPrefix, 0).(provider.Rows)
	next, err := c.committed.WithRows(rows.Rows())
	if err != nil {
		c.addViolation("R11", "the committed configuration is invalid: %v", err)
		return
	}
	previous := c.committed
	c.committed = next
	c.tracef("committed %s", next.LatestRevision())
	c.catalogueHistory = append(c.catalogueHistory,
		committedCatalogue{committedAt: c.sim.now(), catalogue: next.Catalogue()})
	for _, z := range next.Zones() {
		if next.Zone(z).OutOfService() != previous.Zone(z).OutOfService() {
			c.zoneChangeVersion[z] = next.Version()
			delete(c.zoneOutInForceAt, z)
		}
	}
	for _, k := range next.Keys() {
		if _, known := c.revocationVersion[k.ID()]; k.Revoked() && !known {
			c.revocationVersion[k.ID()] = next.Version()
		}
	}
	c.checkPools(previous)
}

// checkPools checks R1 and R2 for a committed configuration.
func (c *checker) checkPools(previous *catalogue.Configuration) {
	for _, id := range c.committed.VMs() {
		if _, ok := c.committed.Catalogue().Pool(c.committed.VM(id).Pool()); !ok {
			c.addViolation("R2", "VM %s is in pool %q, which doesn't exist", id, c.committed.VM(id).Pool())
		}
	}
	for _, p := range c.committed.Catalogue().Pools() {
		before, after := plannedAbsences(previous, p.Name()), plannedAbsences(c.committed, p.Name())
		// A change may override the budget, also by moving a VM that is absent with its zone.
		overrides := c.committed.LatestRevision().Author() == forcedAuthor
		if after > p.Budget() && after > before && !overrides {
			c.addViolation("R1", "%s: pool %s has %d VMs taken out, its budget allows %d",
				c.committed.LatestRevision(), p.Name(), after, p.Budget())
		}
	}
}

// plannedAbsences returns the number of VMs of a pool that were taken out without overriding the availability budget.
func plannedAbsences(config *catalogue.Configuration, pool string) int {
	count := 0
	for _, id := range config.VMs() {
		v, z := config.VM(id), config.Zone(zoneOf(id))
		if v.Pool() != pool || (v.OutOfService() && v.Author() == forcedAuthor) {
			continue
		}
		if v.OutOfService() || (z.OutOfService() && z.Author() != forcedAuthor) {
			count++
		}
	}
	return count
}

// zoneOf returns the availability zone in the id of an entry VM or backend server, such as backend-a-1.
func zoneOf(id string) string { return strings.Split(id, "-")[1] }

// taskStarted checks R2 to R5, R8 and R9 for a start.
func (c *checker) taskStarted(s taskStart) {
	c.starts = append(c.starts, s)
	id := s.task.ID()
	c.tracef("%s starts %s#%d of %s on %s", s.entryVM, id, s.task.Attempt(), s.task.Team(), s.server)
	entry, ok := s.config.Catalogue().Entry(s.task.Entry())
	if !ok || s.config.VM(s.server).Pool() != entry.Pool() {
		c.addViolation("R2", "%s started %s for pool %q on %s of pool %q",
			s.entryVM, id, entry.Pool(), s.server, s.config.VM(s.server).Pool())
	}
	if !entry.Admits(s.task.Team()) {
		c.addViolation("R3", "%s started %s for team %s, which may not use entry %s",
			s.entryVM, id, s.task.Team(), entry.Name())
	}
	if at, revoked := c.revocationInForceAt[c.keyOf(id)]; revoked && s.decidedAt.After(at) {
		c.addViolation("R3", "%s started %s under key %s, whose revocation had been in force for %v",
			s.entryVM, id, c.keyOf(id), s.decidedAt.Sub(at))
	}
	if at, out := c.zoneOutInForceAt[zoneOf(s.server)]; out && s.decidedAt.After(at) {
		c.addViolation("R5", "%s started %s on %s, whose zone's take-out had been in force for %v",
			s.entryVM, id, s.server, s.decidedAt.Sub(at))
	}
	if at, ok := c.leavingAt[s.server]; ok && s.startedAt.Sub(at) > vmListLag+leavingBound {
		c.addViolation("R9", "%s started %s on %s, which had been leaving for %v, allowed are %v",
			s.entryVM, id, s.server, s.startedAt.Sub(at), vmListLag+leavingBound)
	}
	c.checkLimit(s)
	if n := c.sim.platform.Counters.Starts(id); n > 1 && !entry.Idempotent() {
		c.addViolation("R8", "%s started %s, which isn't idempotent: %d starts, allowed is 1", s.entryVM, id, n)
	}
}

// checkLimit checks R4: a team runs no more tasks than its limit. A limit that was lowered is allowed for inForceBound.
func (c *checker) checkLimit(s taskStart) {
	team := s.task.Team()
	largest := 0
	for i, l := range c.catalogueHistory {
		if i+1 < len(c.catalogueHistory) && c.sim.now().Sub(c.catalogueHistory[i+1].committedAt) > inForceBound {
			continue
		}
		if t, ok := l.catalogue.Team(team); ok {
			largest = max(largest, t.Limit())
		}
	}
	if n := c.sim.platform.Counters.Running(team); n > largest {
		c.addViolation("R4", "%s started %s: team %s runs %d tasks, its limit allows %d",
			s.entryVM, s.task.ID(), team, n, largest)
	}
}

func (c *checker) hasLimits(red, blue int) bool {
	r, _ := c.committed.Catalogue().Team("red")
	b, _ := c.committed.Catalogue().Team("blue")
	return r.Limit() == red && b.Limit() == blue
}

func (c *checker) keyOf(id string) string {
	for _, s := range c.submissions {
		if s.request.ID() == id {
			return s.request.KeyID()
		}
	}
	return ""
}

// eventHandled checks R11 after an entry VM has handled an event.
func (c *checker) eventHandled(vm *entryVM) {
	version := vm.state.Configuration().Version()
	if version < vm.lastVersion {
		c.addViolation("R11", "%s went from configuration version %d back to %d", vm.id, vm.lastVersion, version)
	}
	vm.lastVersion = version
	if version < c.highestInForce && vm.state.Fresh(c.sim.now()) {
		c.addViolation("R11", "%s may start work with configuration version %d, but version %d was reported as in force",
			vm.id, version, c.highestInForce)
	}
}

// reportedInForce handles the reply of an entry VM that a configuration version is in force. R11, R3 and R5 require
// then that all entry VMs that may start work apply it.
func (c *checker) reportedInForce(version uint64) {
	c.tracef("configuration version %d is reported as in force", version)
	c.highestInForce = max(c.highestInForce, version)
	for _, z := range c.committed.Zones() {
		_, known := c.zoneOutInForceAt[z]
		if !known && c.committed.Zone(z).OutOfService() && c.zoneChangeVersion[z] <= version {
			c.zoneOutInForceAt[z] = c.sim.now()
		}
	}
	for id, v := range c.revocationVersion {
		if _, known := c.revocationInForceAt[id]; !known && v <= version {
			c.revocationInForceAt[id] = c.sim.now()
		}
	}
	for _, vm := range c.sim.running() {
		if !vm.paused {
			c.eventHandled(vm)
		}
	}
}

// replyReceived stores the outcome of a submission and checks R6.
func (c *checker) replyReceived(s *submission, o dispatch.Outcome) {
	s.outcome = o
	c.tracef("%s replies to %s: %T %+v", s.entryVM, s.request.ID(), o, o)
	a, ok := o.(dispatch.Answered)
	if !ok || !a.OK() {
		return
	}
	c.checkOutput(s.request.ID(), a.Output())
}

// checkOutput checks R6: the output is complete and belongs to the request.
func (c *checker) checkOutput(id string, output []byte) {
	var wire struct {
		ID string `json:"request-id"`
	}
	if err := json.Unmarshal(output, &wire); err != nil || wire.ID != id {
		c.addViolation("R6", "request %s received output %q, which isn't its own or is incomplete", id, output)
	}
}

// connectionsClosed marks the open submissions of an entry VM that was killed.
func (c *checker) connectionsClosed(vm *entryVM) {
	for _, s := range c.submissions {
		if s.entryVM == vm.id && s.outcome == nil {
			s.disconnected = true
		}
	}
}

// drained checks R10 for an entry VM whose planned stop is complete.
func (c *checker) drained(vm *entryVM) {
	c.tracef("%s completed its planned stop", vm.id)
	for _, s := range c.submissions {
		if s.entryVM != vm.id || s.outcome != nil || s.disconnected {
			continue
		}
		// A submission that wasn't received before the stop ends with its connection.
		if s.disconnected = !s.received; !s.disconnected {
			c.addViolation("R10", "%s completed its planned stop without a reply to %s", vm.id, s.request.ID())
		}
	}
	if d := c.sim.now().Sub(vm.drainStartedAt); !vm.disturbed && d > drainBound {
		c.addViolation("R10", "the planned stop of %s took %v, allowed are %v", vm.id, d, drainBound)
	}
}

// traceState adds the state of each entry VM and the slice rows to the trace.
func (c *checker) traceState() {
	for _, vm := range c.sim.running() {
		s := vm.state
		text := fmt.Sprintf("%s: version %d, fresh %t, owns %v",
			vm.id, vm.lastVersion, s.Fresh(c.sim.now()), s.Ownership.Owned())
		for _, p := range []string{"main", "side"} {
			text += fmt.Sprintf(", pool %s: free %d, waiting %t", p, s.Placer.FreeSlots(p), s.Queue.HasWaiting(p))
		}
		for _, t := range []string{"red", "blue"} {
			text += fmt.Sprintf(", team %s: headroom %d, running %d, uncovered %d, backlog %d",
				t, s.Ledger.AllowedStarts(t), s.Ledger.Running(t), s.Ledger.Uncovered(t), s.Queue.Backlog(t))
		}
		c.tracef("%s, pending commits %d", text, vm.committer.Pending())
	}
	rows := c.sim.platform.Table.Scan(context.Background(), "slice/", 0).(provider.Rows)
	for _, row := range rows.Rows() {
		c.tracef("%s: %s", row.Key(), row.Value())
	}
}

// isSettled reports whether every call is answered, every accepted job has ended and every planned stop is complete.
func (c *checker) isSettled() bool { return len(c.unfinished()) == 0 }

// unfinished describes the submissions without a reply, the unfinished jobs and the incomplete planned stops.
func (c *checker) unfinished() []string {
	var open []string
	for _, s := range c.submissions {
		if s.outcome == nil && !s.disconnected {
			open = append(open, fmt.Sprintf("submission of %s to %s has no reply", s.request.ID(), s.entryVM))
		}
	}
	jobs := c.sim.platform.Table.Scan(context.Background(), "job/", 0).(provider.Rows)
	for _, row := range jobs.Rows() {
		if !row.Deleted() {
			open = append(open, fmt.Sprintf("row %s of an unfinished job remains: %s", row.Key(), row.Value()))
		}
	}
	for _, vm := range c.sim.running() {
		if !vm.drainStartedAt.IsZero() {
			open = append(open, vm.id+" is still in its planned stop")
		}
	}
	return open
}

// checkEnd checks the requirements that can be checked only at the end of a run: liveness, R6, R7 and R10.
func (c *checker) checkEnd() {
	c.traceState()
	for _, text := range c.unfinished() {
		c.addViolation("liveness", "%s", text)
	}
	byID := make(map[string][]*submission)
	for _, s := range c.submissions {
		byID[s.request.ID()] = append(byID[s.request.ID()], s)
	}
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		c.checkNotRun(id, byID[id])
		c.checkJob(id, byID[id])
	}
	for _, vm := range c.sim.entryVMs {
		if !vm.killed && !vm.drainStartedAt.IsZero() && vm.drainedAt.IsZero() && !vm.disturbed {
			c.addViolation("R10", "%s never completed its planned stop", vm.id)
		}
	}
}

// checkNotRun checks R7: each start of a request belongs to a submission whose outcome isn't NotRun and that was made
// before the start.
func (c *checker) checkNotRun(id string, submissions []*submission) {
	for _, s := range c.starts {
		if s.task.ID() != id {
			continue
		}
		allowed := false
		for _, u := range submissions {
			o := u.outcome
			if u.request.Kind() == dispatch.KindJob {
				if _, accepted := o.(dispatch.Accepted); accepted {
					o = c.jobOutcome(id)
				}
			}
			_, notRun := o.(dispatch.NotRun)
			allowed = allowed || (!notRun && !u.submittedAt.After(s.startedAt))
		}
		if !allowed {
			c.addViolation("R7", "%s was reported as not run, but %s started it on %s", id, s.entryVM, s.server)
		}
	}
}

// jobOutcome returns the stored outcome of a job, nil if it hasn't ended.
func (c *checker) jobOutcome(id string) dispatch.Outcome {
	rows := c.sim.platform.Table.Scan(context.Background(), dispatch.DoneKey(id), 0).(provider.Rows)
	for _, row := range rows.Rows() {
		if row.Key() != dispatch.DoneKey(id) {
			continue
		}
		j, err := dispatch.DecodeJobStatus(row.Key(), id, row.Value())
		if err != nil {
			c.addViolation("R6", "the row of finished job %s can't be decoded: %v", id, err)
			return nil
		}
		if j.Object() == "" {
			return j.Outcome()
		}
		o, ok := c.sim.platform.Objects.Get(context.Background(), j.Object()).(provider.Object)
		if !ok {
			c.addViolation("R6", "the object with the output of job %s is missing", id)
			return j.Outcome()
		}
		return dispatch.NewAnswered(j.Outcome().(dispatch.Answered).OK(), o.Data())
	}
	return nil
}

// checkJob checks liveness and R10 for an accepted job, which must have ended and must not be lost. It also checks R6
// for the output of the job.
func (c *checker) checkJob(id string, submissions []*submission) {
	for _, s := range submissions {
		if _, accepted := s.outcome.(dispatch.Accepted); !accepted {
			continue
		}
		o := c.jobOutcome(id)
		if o == nil {
			c.addViolation("liveness", "job %s was accepted but hasn't ended", id)
			if !c.hasRow(dispatch.JobKey(id)) {
				c.addViolation("R10", "job %s was accepted, but is lost: the table has no row of it", id)
			}
			return
		}
		if a, ok := o.(dispatch.Answered); ok && a.OK() {
			c.checkOutput(id, a.Output())
		}
	}
}

func (c *checker) hasRow(key string) bool {
	rows := c.sim.platform.Table.Scan(context.Background(), key, 0).(provider.Rows)
	return slices.ContainsFunc(rows.Rows(), func(row provider.Row) bool { return row.Key() == key })
}

func writesClaim(t provider.Transaction) bool {
	for _, w := range t.Writes() {
		if strings.HasPrefix(w.Key(), "claim/") {
			return true
		}
	}
	return false
}
