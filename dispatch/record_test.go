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
	// limitWindow is the time within which a change is in force everywhere (R27).
	limitWindow = 13 * time.Second
	// leavingBound is how long after the list's lag a leaving backend server may still get work (R9).
	leavingBound = 3 * time.Second
	// drainBound exceeds the longest deadline of a call and the longest run time in the rig.
	drainBound = 30 * time.Second
	// forced marks the author of changes that override the availability budgets.
	forced = "forced"
)

// start is a task that a backend server started.
type start struct {
	at, decided  time.Time
	node, server string
	task         provider.Task
	config       *catalogue.Configuration
}

// submission is one request of a caller.
type submission struct {
	node       string
	request    dispatch.Request
	at         time.Time
	idempotent bool
	reached    bool // the control state has it
	closed     bool // the connection was lost
	outcome    dispatch.Outcome
}

// record is what an observer of all parts sees, and the violations of requirements found so far.
type record struct {
	rig         *rig
	truth       *catalogue.Configuration
	epochs      map[string]uint64
	keys        map[string][]string
	submissions []*submission
	starts      []start
	limits      []limits
	leavingAt   map[string]time.Time
	zoneVersion map[string]uint64 // configuration version of the last change of a zone
	keyVersion  map[string]uint64 // configuration version of a revocation
	outInForce  map[string]time.Time
	keyInForce  map[string]time.Time
	inForce     uint64
	violations  map[string]string
	trace       []string
}

// limits are the limits of the teams from a time on.
type limits struct {
	at      time.Time
	catalog *catalogue.Catalogue
}

func newRecord(r *rig) *record {
	return &record{
		rig: r, truth: catalogue.NewConfiguration(), epochs: make(map[string]uint64), keys: make(map[string][]string),
		leavingAt: make(map[string]time.Time), zoneVersion: make(map[string]uint64), keyVersion: make(map[string]uint64),
		outInForce: make(map[string]time.Time), keyInForce: make(map[string]time.Time),
		violations: make(map[string]string),
	}
}

// violate notes the first violation of a row.
func (c *record) violate(row, format string, args ...any) {
	if _, ok := c.violations[row]; ok {
		return
	}
	at := c.rig.now().Sub(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC))
	c.violations[row] = fmt.Sprintf("%s after %v: ", row, at) + fmt.Sprintf(format, args...)
}

func (c *record) note(format string, args ...any) {
	at := c.rig.now().Sub(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC))
	c.trace = append(c.trace, fmt.Sprintf("%8.3f ", at.Seconds())+fmt.Sprintf(format, args...))
}

// committed looks at the configuration that the table has accepted.
func (c *record) committed(t provider.Transaction, o provider.CommitOutcome) {
	if _, ok := o.(provider.Committed); !ok {
		return
	}
	for _, w := range t.Writes() {
		if strings.HasPrefix(w.Key(), catalogue.Prefix) {
			c.accepted()
			return
		}
	}
}

func (c *record) accepted() {
	rows := c.rig.platform.Table.Scan(context.Background(), catalogue.Prefix, 0).(provider.Rows)
	next, err := c.truth.With(rows.Rows())
	if err != nil {
		c.violate("R11", "the accepted configuration is invalid: %v", err)
		return
	}
	former := c.truth
	c.truth = next
	c.note("accepted %s", next.Change())
	c.limits = append(c.limits, limits{at: c.rig.now(), catalog: next.Catalogue()})
	for _, z := range next.Zones() {
		if next.Zone(z).Out() != former.Zone(z).Out() {
			c.zoneVersion[z] = next.Version()
			delete(c.outInForce, z)
		}
	}
	for _, k := range next.Keys() {
		if _, known := c.keyVersion[k.ID()]; k.Revoked() && !known {
			c.keyVersion[k.ID()] = next.Version()
		}
	}
	c.checkPools(former)
}

// checkPools checks R1 and R2 in an accepted configuration.
func (c *record) checkPools(former *catalogue.Configuration) {
	for _, id := range c.truth.VMs() {
		if _, ok := c.truth.Catalogue().Pool(c.truth.VM(id).Pool()); !ok {
			c.violate("R2", "VM %s is in pool %q, which doesn't exist", id, c.truth.VM(id).Pool())
		}
	}
	for _, p := range c.truth.Catalogue().Pools() {
		before, after := planned(former, p.Name()), planned(c.truth, p.Name())
		if after > p.Budget() && after > before {
			c.violate("R1", "%s: pool %s has %d planned absences, its budget is %d",
				c.truth.Change(), p.Name(), after, p.Budget())
		}
	}
}

// planned counts the VMs of a pool that were taken out without force.
func planned(config *catalogue.Configuration, pool string) int {
	count := 0
	for _, id := range config.VMs() {
		v, z := config.VM(id), config.Zone(zoneOf(id))
		if v.Pool() != pool || (v.Out() && v.By() == forced) {
			continue
		}
		if v.Out() || (z.Out() && z.By() != forced) {
			count++
		}
	}
	return count
}

func zoneOf(id string) string { return strings.Split(id, "-")[1] }

// started checks what must hold at each start.
func (c *record) started(s start) {
	c.starts = append(c.starts, s)
	id := s.task.ID()
	c.note("%s starts %s#%d of %s on %s", s.node, id, s.task.Attempt(), s.task.Team(), s.server)
	entry, ok := s.config.Catalogue().Entry(s.task.Entry())
	if !ok || s.config.VM(s.server).Pool() != entry.Pool() {
		c.violate("R2", "%s started %s for pool %q on %s of pool %q",
			s.node, id, entry.Pool(), s.server, s.config.VM(s.server).Pool())
	}
	if !entry.Admits(s.task.Team()) {
		c.violate("R3", "%s started %s of team %s for entry %s", s.node, id, s.task.Team(), entry.Name())
	}
	if at, revoked := c.keyInForce[c.keyOf(id)]; revoked && s.decided.After(at) {
		c.violate("R3", "%s started %s under key %s, whose revocation was in force %v before",
			s.node, id, c.keyOf(id), s.decided.Sub(at))
	}
	if at, out := c.outInForce[zoneOf(s.server)]; out && s.decided.After(at) {
		c.violate("R5", "%s started %s on %s, whose zone's take-out was in force %v before",
			s.node, id, s.server, s.decided.Sub(at))
	}
	if at, ok := c.leavingAt[s.server]; ok && s.at.Sub(at) > listLag+leavingBound {
		c.violate("R9", "%s started %s on %s, which had been leaving for %v", s.node, id, s.server, s.at.Sub(at))
	}
	c.checkLimit(s)
	if n := c.rig.platform.Counters.Starts(id); n > 1 && !entry.Idempotent() {
		c.violate("R8", "%s started %s, which isn't idempotent and was started %d times", s.node, id, n)
	}
}

func (c *record) checkLimit(s start) {
	team := s.task.Team()
	largest := 0
	for i, l := range c.limits {
		if i+1 < len(c.limits) && c.rig.now().Sub(c.limits[i+1].at) > limitWindow {
			continue
		}
		if t, ok := l.catalog.Team(team); ok {
			largest = max(largest, t.Limit())
		}
	}
	if n := c.rig.platform.Counters.Running(team); n > largest {
		c.violate("R4", "%s started %s: team %s has %d running, its largest limit was %d",
			s.node, s.task.ID(), team, n, largest)
	}
}

func (c *record) hasLimits(red, blue int) bool {
	r, _ := c.truth.Catalogue().Team("red")
	b, _ := c.truth.Catalogue().Team("blue")
	return r.Limit() == red && b.Limit() == blue
}

func (c *record) keyOf(id string) string {
	for _, s := range c.submissions {
		if s.request.ID() == id {
			return s.request.Key()
		}
	}
	return ""
}

// handled checks R11 after each step of a node.
func (c *record) handled(n *node) {
	version := n.state.Configuration().Version()
	if version < n.version {
		c.violate("R11", "%s went back from version %d to %d", n.id, n.version, version)
	}
	n.version = version
	if version < c.inForce && n.state.Fresh(c.rig.now()) {
		c.violate("R11", "%s may start work with version %d, but version %d was told to be in force",
			n.id, version, c.inForce)
	}
}

// toldInForce notes that an entry VM answered that a version is in force.
func (c *record) toldInForce(version uint64) {
	c.note("version %d is told to be in force", version)
	c.inForce = max(c.inForce, version)
	for _, z := range c.truth.Zones() {
		if _, known := c.outInForce[z]; !known && c.truth.Zone(z).Out() && c.zoneVersion[z] <= version {
			c.outInForce[z] = c.rig.now()
		}
	}
	for id, v := range c.keyVersion {
		if _, known := c.keyInForce[id]; !known && v <= version {
			c.keyInForce[id] = c.rig.now()
		}
	}
	for _, n := range c.rig.running() {
		if !n.paused {
			c.handled(n)
		}
	}
}

// replied checks R6 for the answer to a submission.
func (c *record) replied(s *submission, o dispatch.Outcome) {
	s.outcome = o
	c.note("%s replies to %s: %T %+v", s.node, s.request.ID(), o, o)
	a, ok := o.(dispatch.Answered)
	if !ok || !a.OK() {
		return
	}
	c.checkOutput(s.request.ID(), a.Output())
}

func (c *record) checkOutput(id string, output []byte) {
	var wire struct {
		ID string `json:"request-id"`
	}
	if err := json.Unmarshal(output, &wire); err != nil || wire.ID != id {
		c.violate("R6", "request %s got the output %q", id, output)
	}
}

func (c *record) connectionsLost(n *node) {
	for _, s := range c.submissions {
		if s.node == n.id && s.outcome == nil {
			s.closed = true
		}
	}
}

// drained checks that a stopped node answered all it held.
func (c *record) drained(n *node) {
	c.note("%s has drained", n.id)
	for _, s := range c.submissions {
		if s.node != n.id || s.outcome != nil || s.closed {
			continue
		}
		if s.closed = !s.reached; !s.closed {
			c.violate("R10", "%s ended without an answer to %s", n.id, s.request.ID())
		}
	}
	if d := c.rig.now().Sub(n.draining); !n.disturbed && d > drainBound {
		c.violate("R10", "%s took %v to drain", n.id, d)
	}
}

// describe notes where each node and the slices stand, for the trace of a run that didn't end.
func (c *record) describe() {
	for _, n := range c.rig.running() {
		s := n.state
		text := fmt.Sprintf("%s: version %d, fresh %t, owns %v", n.id, n.version, s.Fresh(c.rig.now()), s.Ownership.Owned())
		for _, p := range []string{"main", "side"} {
			text += fmt.Sprintf(", %s free %d waiting %t", p, s.Placer.FreeSlots(p), s.Queue.HasWaiting(p))
		}
		for _, t := range []string{"red", "blue"} {
			text += fmt.Sprintf(", %s room %d running %d uncovered %d backlog %d",
				t, s.Ledger.AllowedStarts(t), s.Ledger.Running(t), s.Ledger.Uncovered(t), s.Queue.Backlog(t))
		}
		c.note("%s, commits %d", text, n.committer.Pending())
	}
	rows := c.rig.platform.Table.Scan(context.Background(), "slice/", 0).(provider.Rows)
	for _, row := range rows.Rows() {
		c.note("%s: %s", row.Key(), row.Value())
	}
}

// settled reports whether nothing is open: every call is answered and every accepted job has ended.
func (c *record) settled() bool { return len(c.open()) == 0 }

// open describes what is neither answered nor finished.
func (c *record) open() []string {
	var open []string
	for _, s := range c.submissions {
		if s.outcome == nil && !s.closed {
			open = append(open, fmt.Sprintf("submission %s at %s has no reply", s.request.ID(), s.node))
		}
	}
	jobs := c.rig.platform.Table.Scan(context.Background(), "job/", 0).(provider.Rows)
	for _, row := range jobs.Rows() {
		if !row.Deleted() {
			open = append(open, fmt.Sprintf("job %s is %s", row.Key(), row.Value()))
		}
	}
	for _, n := range c.rig.running() {
		if !n.draining.IsZero() {
			open = append(open, n.id+" is draining")
		}
	}
	return open
}

// finish checks what can be told only at the end of a run.
func (c *record) finish() {
	c.describe()
	for _, text := range c.open() {
		c.violate("liveness", "%s", text)
	}
	byID := make(map[string][]*submission)
	for _, s := range c.submissions {
		byID[s.request.ID()] = append(byID[s.request.ID()], s)
	}
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		c.checkNotRun(id, byID[id])
		c.checkJob(id, byID[id])
	}
	for _, n := range c.rig.nodes {
		if !n.dead && !n.draining.IsZero() && n.drainedAt.IsZero() && !n.disturbed {
			c.violate("R10", "%s never drained", n.id)
		}
	}
}

// checkNotRun checks R7: every start of a request belongs to a submission that wasn't told that it didn't run.
func (c *record) checkNotRun(id string, submissions []*submission) {
	for _, s := range c.starts {
		if s.task.ID() != id {
			continue
		}
		excused := false
		for _, u := range submissions {
			o := u.outcome
			if u.request.Kind() == dispatch.KindJob {
				if _, accepted := o.(dispatch.Accepted); accepted {
					o = c.jobOutcome(id)
				}
			}
			_, notRun := o.(dispatch.NotRun)
			excused = excused || (!notRun && !u.at.After(s.at))
		}
		if !excused {
			c.violate("R7", "%s was told as not run and was started by %s on %s", id, s.node, s.server)
		}
	}
}

// jobOutcome returns the stored outcome of a job, nil if it hasn't ended.
func (c *record) jobOutcome(id string) dispatch.Outcome {
	rows := c.rig.platform.Table.Scan(context.Background(), dispatch.DoneKey(id), 0).(provider.Rows)
	for _, row := range rows.Rows() {
		if row.Key() != dispatch.DoneKey(id) {
			continue
		}
		j, err := dispatch.DecodeJobStatus(row.Key(), id, row.Value())
		if err != nil {
			c.violate("R6", "the row of job %s can't be read: %v", id, err)
			return nil
		}
		if j.Object() == "" {
			return j.Outcome()
		}
		o, ok := c.rig.platform.Objects.Get(context.Background(), j.Object()).(provider.Object)
		if !ok {
			c.violate("R6", "the output of job %s is missing", id)
			return j.Outcome()
		}
		return dispatch.NewAnswered(j.Outcome().(dispatch.Answered).OK(), o.Data())
	}
	return nil
}

// checkJob checks that an accepted job isn't lost and that its output is its own.
func (c *record) checkJob(id string, submissions []*submission) {
	for _, s := range submissions {
		if _, accepted := s.outcome.(dispatch.Accepted); !accepted {
			continue
		}
		o := c.jobOutcome(id)
		if o == nil {
			c.violate("liveness", "job %s was accepted and has not ended", id)
			if !c.hasRow(dispatch.JobKey(id)) {
				c.violate("R10", "job %s was accepted and is lost", id)
			}
			return
		}
		if a, ok := o.(dispatch.Answered); ok && a.OK() {
			c.checkOutput(id, a.Output())
		}
	}
}

func (c *record) hasRow(key string) bool {
	rows := c.rig.platform.Table.Scan(context.Background(), key, 0).(provider.Rows)
	return slices.ContainsFunc(rows.Rows(), func(row provider.Row) bool { return row.Key() == key })
}

func isClaim(t provider.Transaction) bool {
	for _, w := range t.Writes() {
		if strings.HasPrefix(w.Key(), "claim/") {
			return true
		}
	}
	return false
}
