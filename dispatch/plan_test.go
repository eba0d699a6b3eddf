package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/provider/standin"
)

const (
	// warmUpDuration is the time from the start of the entry VMs to the first operation of a plan.
	warmUpDuration = 4 * time.Second
	// faultDuration is how long after warmUpDuration faults, submissions and operators' changes go on.
	faultDuration = 30 * time.Second
	// settleTimeout is how long calls, jobs and planned stops may take to end after the last fault. It covers the
	// deletion of members that no longer exist (12 s), a freshness lease with its guard interval (10 s), the adoption of
	// jobs (10 s), a task lease with its guard (22 s), two returns of slices one after the other, the longest run time,
	// and jobs that wait because of the low limits of the simulation.
	settleTimeout = 120 * time.Second
	// maxRunTime is the longest run time of a task.
	maxRunTime = 6 * time.Second
)

// operationKind says which fault, change or submission an operation is.
type operationKind string

const (
	pauseEntryVM      operationKind = "pause"
	killEntryVM       operationKind = "kill"
	drainEntryVM      operationKind = "drain"
	addEntryVM        operationKind = "add"
	isolateEntryVM    operationKind = "isolate" // from the other entry VMs and the table; only in profiles that list it
	cutEntryVMs       operationKind = "cut-entry-vms"
	cutZones          operationKind = "cut-zones"
	cutTable          operationKind = "cut-table"
	tableOutage       operationKind = "table-outage"
	slowTable         operationKind = "slow-table"
	cutServer         operationKind = "cut-server"
	restartServer     operationKind = "restart-server"
	failTasks         operationKind = "fail-tasks"
	crossAnswers      operationKind = "cross-answers"
	truncateAnswers   operationKind = "truncate-answers"
	duplicateAnswers  operationKind = "duplicate-answers"
	changeLimits      operationKind = "change-limits"
	grantKey          operationKind = "grant-key"
	revokeKey         operationKind = "revoke-key"
	takeZoneOut       operationKind = "zone-out"
	returnZone        operationKind = "zone-in"
	takeVMOut         operationKind = "vm-out"
	returnVM          operationKind = "vm-in"
	moveVM            operationKind = "vm-move"
	markServerLeaving operationKind = "leave"
	cancelMany        operationKind = "cancel-many"
	submitBurst       operationKind = "burst"
	resubmit          operationKind = "resubmit"
)

var allKinds = []operationKind{
	pauseEntryVM, killEntryVM, drainEntryVM, addEntryVM, cutEntryVMs, cutZones, cutTable, tableOutage, slowTable,
	cutServer, restartServer, failTasks, crossAnswers, truncateAnswers, duplicateAnswers, changeLimits, grantKey,
	revokeKey, takeZoneOut, returnZone, takeVMOut, returnVM, moveVM, markServerLeaving, cancelMany, submitBurst, resubmit,
}

// operation is one step of a plan. Target selects the entry VM, backend server, team or other object, and duration is
// how long a fault lasts.
type operation struct {
	startsAt time.Duration
	kind     operationKind
	target   int
	duration time.Duration
}

// plan determines a run of the simulation. Which messages are lost or late follows from the seed and the percentages.
type plan struct {
	seed                     uint64
	entryVMs                 int
	lossPercent, latePercent int // of the messages
	meanInterval             time.Duration
	operations               []operation
}

// profile changes the distribution of the operations that are drawn, to make the faults that matter for a requirement
// more frequent.
type profile struct {
	frequent []operationKind
	excluded []operationKind
	// reliableNetwork is set if no messages are lost or late.
	reliableNetwork bool
}

// drawPlan draws a plan according to a profile.
func drawPlan(t *rapid.T, f profile) plan {
	var kinds []operationKind
	for _, k := range allKinds {
		if !slices.Contains(f.excluded, k) {
			kinds = append(kinds, k)
		}
	}
	for range 4 {
		kinds = append(kinds, f.frequent...)
	}
	p := plan{
		seed: rapid.Uint64Range(1, 1<<32).Draw(t, "seed"), entryVMs: rapid.IntRange(3, 5).Draw(t, "entry-vms"),
		meanInterval: time.Duration(rapid.IntRange(60, 600).Draw(t, "mean-interval")) * time.Millisecond,
	}
	if !f.reliableNetwork {
		p.lossPercent = rapid.IntRange(0, 8).Draw(t, "loss")
		p.latePercent = rapid.IntRange(0, 20).Draw(t, "late")
	}
	p.operations = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
		// Rapid prefers small numbers. A random generator with a drawn seed spreads the operations evenly over the run.
		spread := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "spread"), 0))
		return operation{
			startsAt: time.Duration(spread.Int64N(int64(faultDuration))).Truncate(time.Millisecond),
			kind:     kinds[spread.IntN(len(kinds))], target: spread.IntN(60),
			duration: time.Duration(1+spread.Int64N(15_000)) * time.Millisecond,
		}
	}), 4, 40).Draw(t, "operations")
	return p
}

// mutation says which mechanism of the simulation is broken. The zero value breaks none.
type mutation struct {
	ignoreEpochs        bool
	claimsAlwaysSucceed bool
	sharedSlices        bool // all entry VMs use the slots of the same slice
	ignoreBudgets       bool // every take-out overrides the availability budgets
	hideLeaving         bool // the VM list never shows a VM as leaving
	deleteJobsOnDrain   bool // a planned stop deletes the rows of jobs
	// freshnessDuration is the duration of the freshness leases, and propagationDuration the one that Propagation
	// assumes for them. 0 is the default.
	freshnessDuration   time.Duration
	propagationDuration time.Duration
	// alterReply changes the outcomes of submissions unless it is nil.
	alterReply func(dispatch.Outcome) dispatch.Outcome
}

// runPlan runs a plan to its end and returns the checker with the violations.
func runPlan(p plan, m mutation) *checker {
	sm := newSimulation(p, m)
	sm.pollPeriodically()
	begin := sm.now()
	sm.after(warmUpDuration-time.Second, sm.submitPeriodically)
	for _, o := range p.operations {
		sm.after(warmUpDuration+o.startsAt, func() { sm.apply(o) })
	}
	sm.runUntil(begin.Add(warmUpDuration + faultDuration))
	sm.stopFaults()
	end := sm.now().Add(settleTimeout)
	for sm.now().Before(end) && (!sm.isRestored() || !sm.checker.isSettled()) {
		sm.runUntil(sm.now().Add(time.Second))
	}
	sm.checker.checkEnd()
	return sm.checker
}

// pollPeriodically answers the Runs of ended tasks and advances the group commits.
func (sm *simulation) pollPeriodically() {
	sm.completeRuns()
	for _, vm := range sm.running() {
		sm.runOrQueue(vm, func() { sm.advanceCommitter(vm) })
	}
	sm.after(answerPollInterval, sm.pollPeriodically)
}

// submitPeriodically submits requests at random intervals until the faults end.
func (sm *simulation) submitPeriodically() {
	if sm.faultsStopped {
		return
	}
	sm.submitVariant(sm.random.IntN(12))
	sm.after(time.Duration(sm.random.Int64N(int64(2*sm.plan.meanInterval))), sm.submitPeriodically)
}

// submitVariant submits a new request to any entry VM. Variants 0 to 7 are calls and 8 to 11 jobs; the variant modulo 4
// selects the entry.
func (sm *simulation) submitVariant(variant int) *submission {
	c := sm.checker
	name := []string{"proofs", "plates", "seats", "batch"}[variant%4]
	team := []string{"red", "blue"}[sm.random.IntN(2)]
	key := c.keys[team][sm.random.IntN(len(c.keys[team]))]
	k, deadline := dispatch.KindCall, sm.now().Add(time.Duration(500+sm.random.IntN(7500))*time.Millisecond)
	if variant >= 8 {
		k = dispatch.KindJob
		if sm.random.IntN(4) != 0 {
			deadline = time.Time{}
		}
	}
	// Jobs that fail are attempted 25 times, so their tasks must be short for them to end within settleTimeout.
	run, fail := int64(10+sm.random.IntN(800)), sm.random.IntN(30) == 0
	if sm.random.IntN(15) == 0 && !fail {
		run = maxRunTime.Milliseconds()
	}
	if fail {
		run = 10
	}
	payload := fmt.Sprintf(`{"run-ms": %d, "fail": %t, "output-bytes": %d}`,
		run, fail, []int{0, 0, 0, 8000}[sm.random.IntN(4)])
	callerChoseID := sm.random.IntN(4) != 0
	id := fmt.Sprintf("r%d-%s", len(c.submissions), name)
	return sm.submitToAny(dispatch.NewRequest(id, k, name, team, key, []byte(payload), deadline, 0, callerChoseID))
}

// submitToAny submits a request to a random entry VM.
func (sm *simulation) submitToAny(q dispatch.Request) *submission {
	return sm.submitAt(sm.pickEntryVM(sm.random.IntN(60)), q)
}

// submitAt submits a request to an entry VM. A paused entry VM receives it after the pause.
func (sm *simulation) submitAt(vm *entryVM, q dispatch.Request) *submission {
	s := &submission{
		entryVM: vm.id, request: q, submittedAt: sm.now(),
		idempotent: q.Entry() == "proofs" || q.Entry() == "batch",
	}
	sm.checker.submissions = append(sm.checker.submissions, s)
	sm.checker.tracef("%s receives %s of team %s", vm.id, q.ID(), q.Team())
	ticket := sm.newTicket(func(o dispatch.Outcome) {
		if sm.mutation.alterReply != nil {
			o = sm.mutation.alterReply(o)
		}
		sm.checker.replyReceived(s, o)
	})
	sm.runOrQueue(vm, func() {
		s.received = true
		sm.handle(vm, dispatch.NewSubmitted(ticket, q))
	})
	return s
}

// serverID returns the id of a backend server for any number.
func (sm *simulation) serverID(i int) string {
	return fmt.Sprintf("backend-%s-%d", []string{"a", "b"}[i%2], i/2%3+1)
}

// pickEntryVM returns a running entry VM for any number.
func (sm *simulation) pickEntryVM(i int) *entryVM {
	entryVMs := sm.running()
	return entryVMs[i%len(entryVMs)]
}

// apply carries out an operation of the plan.
func (sm *simulation) apply(o operation) {
	sm.checker.tracef("operation %s %d %v", o.kind, o.target, o.duration)
	vm := sm.pickEntryVM(o.target)
	switch o.kind {
	case pauseEntryVM:
		vm.paused, vm.disturbed = true, true
		sm.after(o.duration, func() { sm.resume(vm) })
	case killEntryVM:
		if len(sm.running()) > 2 {
			sm.kill(vm)
			sm.platform.VMs.Remove(vm.id)
			sm.after(o.duration/2, func() { sm.addEntryVM(vm.zone) })
		}
	case drainEntryVM:
		sm.drain(vm)
	case addEntryVM:
		if len(sm.running()) < 6 {
			sm.addEntryVM([]string{"a", "b"}[o.target%2])
		}
	case cutEntryVMs:
		sm.cutLink(vm.id, sm.pickEntryVM(o.target/7).id, o.duration)
	case cutZones:
		for _, a := range sm.running() {
			for _, b := range sm.running() {
				if a.zone != b.zone {
					sm.cutLink(a.id, b.id, o.duration)
				}
			}
		}
	case isolateEntryVM:
		for _, other := range sm.running() {
			sm.cutLink(vm.id, other.id, o.duration)
		}
		sm.cutLink(vm.id, tableEndpoint, o.duration)
	case cutTable:
		sm.cutLink(vm.id, tableEndpoint, o.duration)
		sm.cutLink(vm.id, objectStoreEndpoint, o.duration/2)
	case tableOutage:
		for _, other := range sm.running() {
			sm.cutLink(other.id, tableEndpoint, o.duration)
		}
	case slowTable:
		sm.slowTableUntil = sm.now().Add(o.duration)
	case cutServer:
		sm.cutLink(vm.id, sm.serverID(o.target/5), o.duration)
	case cancelMany, submitBurst, resubmit:
		sm.applyToRequests(o)
	case restartServer, failTasks, crossAnswers, truncateAnswers, duplicateAnswers, markServerLeaving:
		sm.applyToServer(o)
	default:
		sm.applyConfigurationChange(vm, o)
	}
}

// cutLink drops all messages between two endpoints for a time.
func (sm *simulation) cutLink(a, b string, d time.Duration) {
	if a == b {
		return
	}
	sm.cutUntil[linkKey(a, b)] = sm.now().Add(d)
	for _, id := range []string{a, b} {
		if vm, ok := sm.entryVMs[id]; ok {
			vm.disturbed = true
		}
	}
}

// addEntryVM starts an entry VM with a new id.
func (sm *simulation) addEntryVM(zone string) {
	id := fmt.Sprintf("entry-%s-%d", zone, sm.startedCount+10)
	sm.platform.VMs.Set(newListedEntryVM(id, zone))
	sm.start(id, zone)
}

// drain starts the planned stop of an entry VM, and another entry VM to replace it. At least two keep running.
func (sm *simulation) drain(vm *entryVM) {
	if !vm.drainStartedAt.IsZero() || len(sm.running()) < 3 {
		return
	}
	sm.addEntryVM(vm.zone)
	vm.drainStartedAt = sm.now()
	vm.disturbed = vm.paused || sm.now().Before(sm.slowTableUntil) || sm.plan.lossPercent+sm.plan.latePercent > 0
	for p, until := range sm.cutUntil {
		vm.disturbed = vm.disturbed || (strings.Contains("|"+p+"|", "|"+vm.id+"|") && sm.now().Before(until))
	}
	sm.post(vm, dispatch.DrainRequested{})
}

// applyToRequests carries out an operation that submits or cancels requests.
func (sm *simulation) applyToRequests(o operation) {
	switch o.kind {
	case submitBurst:
		for range 12 {
			sm.submitVariant(o.target % 12)
		}
	case resubmit:
		s := sm.submitVariant(o.target % 12)
		sm.after(o.duration/20, func() { sm.submitToAny(s.request) })
		sm.after(o.duration/4, func() { sm.submitToAny(s.request) })
	case cancelMany:
		for _, s := range sm.checker.submissions {
			_, accepted := s.outcome.(dispatch.Accepted)
			if (s.outcome != nil && !accepted) || s.disconnected || sm.random.IntN(2) == 0 {
				continue
			}
			vm := sm.entryVMs[s.entryVM]
			if sm.random.IntN(5) == 0 {
				vm = sm.pickEntryVM(sm.random.IntN(10))
			}
			sm.post(vm, dispatch.NewCancelled(sm.newTicket(func(dispatch.Outcome) {}), s.request.ID()))
		}
	}
}

// applyToServer carries out an operation on a backend server.
func (sm *simulation) applyToServer(o operation) {
	id := sm.serverID(o.target)
	b := sm.platform.Backends[id]
	switch o.kind {
	case restartServer:
		sm.restartServer(id)
	case failTasks:
		b.TaskFaults.SetFail(standin.Always{})
		sm.after(o.duration, func() { b.TaskFaults.SetFail(standin.Never{}) })
	case crossAnswers:
		b.TaskFaults.SetMisroute(standin.NewNext(1 + o.target%3))
	case truncateAnswers:
		b.TaskFaults.SetTruncate(standin.NewNext(1 + o.target%3))
	case duplicateAnswers:
		b.TaskFaults.SetDuplicate(standin.NewNext(1 + o.target%3))
	case markServerLeaving:
		if len(sm.checker.leavingAt) == 0 {
			sm.checker.leavingAt[id] = sm.now()
			sm.platform.VMs.SetLeaving(id, true)
		}
	}
}

// restartServer restarts a backend server. The answers of tasks that have ended are delivered before.
func (sm *simulation) restartServer(server string) {
	sm.completeRuns()
	sm.platform.Backends[server].Restart()
	sm.restarts[server]++
}

// applyConfigurationChange requests an operator's change of the configuration.
func (sm *simulation) applyConfigurationChange(vm *entryVM, o operation) {
	c := sm.checker
	author := "operator"
	force := o.target%5 == 0
	if force {
		author = forcedAuthor
	}
	force = force || sm.mutation.ignoreBudgets
	id := sm.serverID(o.target)
	config := vm.state.Configuration()
	pool := []string{"main", "side", "spare"}[o.target%3]
	switch o.kind {
	case changeLimits:
		next := testCatalogue(1+o.target%5, 1+o.target%3, o.target%4 == 0)
		sm.requestChange(vm, dispatch.NewCatalogueChange(next, config.Version()), author)
	case grantKey:
		team := []string{"red", "blue"}[o.target%2]
		k := sm.newKey(team)
		sm.requestChange(vm, dispatch.NewKeyGrant(k), author)
		sm.after(o.duration/10, func() { c.keys[team] = append(c.keys[team], k.ID()) })
	case revokeKey:
		team := []string{"red", "blue"}[o.target%2]
		sm.requestChange(vm, dispatch.NewKeyRevocation(c.keys[team][o.target%len(c.keys[team])]), author)
	case takeZoneOut:
		sm.requestChange(vm, dispatch.NewZoneChange([]string{"a", "b"}[o.target%2], true, force), author)
	case returnZone:
		sm.requestChange(vm, dispatch.NewZoneChange([]string{"a", "b"}[o.target%2], false, force), author)
	case takeVMOut:
		sm.requestChange(vm, dispatch.NewVMChange(id, true, "", "test", force), author)
	case returnVM:
		sm.requestChange(vm, dispatch.NewVMChange(id, false, "", "test", force), author)
	case moveVM:
		sm.requestChange(vm, dispatch.NewVMChange(id, o.target%4 == 1, pool, "test", force), author)
	}
}

// requestChange requests a change from an entry VM and polls its status until it is in force.
func (sm *simulation) requestChange(vm *entryVM, c dispatch.Change, author string) {
	sm.post(vm, dispatch.NewChangeRequested(sm.newTicket(func(o dispatch.Outcome) {
		sm.checker.tracef("%s replies to %T: %+v", vm.id, c, o)
		sm.pollUntilInForce(o)
	}), c, author))
}

// pollUntilInForce handles a reply on the status of a change. While the change isn't in force, it queries any entry VM
// again after 500 ms.
func (sm *simulation) pollUntilInForce(o dispatch.Outcome) {
	c, ok := o.(dispatch.ChangeStatus)
	if !ok || c.Version() == 0 {
		return
	}
	if c.InForce() {
		sm.checker.reportedInForce(c.Version())
		return
	}
	sm.after(500*time.Millisecond, func() {
		vm := sm.pickEntryVM(sm.random.IntN(10))
		sm.post(vm, dispatch.NewChangeQueried(sm.newTicket(sm.pollUntilInForce), c.Version()))
	})
}

// stopFaults ends all faults and starts to return everything that operators took out to service.
func (sm *simulation) stopFaults() {
	sm.checker.tracef("faults and submissions end")
	sm.faultsStopped = true
	clear(sm.cutUntil)
	sm.slowTableUntil = time.Time{}
	for _, id := range slices.Clone(sm.runningIDs) {
		sm.resume(sm.entryVMs[id])
	}
	for i := range 6 {
		f := &sm.platform.Backends[sm.serverID(i)].TaskFaults
		f.SetFail(standin.Never{})
		f.SetMisroute(standin.Never{})
		f.SetTruncate(standin.Never{})
		f.SetDuplicate(standin.Never{})
	}
	sm.requestRestoration()
}

// requestRestoration requests once per second the changes that restore the initial state of zones, limits and VMs.
func (sm *simulation) requestRestoration() {
	if sm.isRestored() {
		return
	}
	vm := sm.pickEntryVM(sm.random.IntN(10))
	for _, zone := range []string{"a", "b"} {
		if sm.zoneOutAnywhere(zone) {
			sm.requestChange(vm, dispatch.NewZoneChange(zone, false, false), "operator")
		}
	}
	if !sm.checker.hasLimits(3, 2) {
		version := vm.state.Configuration().Version()
		sm.requestChange(vm, dispatch.NewCatalogueChange(testCatalogue(3, 2, false), version), "operator")
	}
	for i := range 6 {
		if v := sm.checker.committed.VM(sm.serverID(i)); v.OutOfService() || v.Pool() != initialPoolOf(sm.serverID(i)) {
			change := dispatch.NewVMChange(sm.serverID(i), false, initialPoolOf(sm.serverID(i)), "", false)
			sm.requestChange(vm, change, "operator")
			break
		}
	}
	sm.after(time.Second, sm.requestRestoration)
}

// zoneOutAnywhere reports whether a zone is out of service in the table or at any entry VM. A take-out that was applied
// early by an entry VM that has ended since isn't in the table, but stays applied until an operator returns the zone to
// service.
func (sm *simulation) zoneOutAnywhere(zone string) bool {
	return sm.checker.committed.Zone(zone).OutOfService() || slices.ContainsFunc(sm.running(), func(vm *entryVM) bool {
		return vm.state.Configuration().Zone(zone).OutOfService()
	})
}

// isRestored reports whether the zones, limits and VMs are in their initial state.
func (sm *simulation) isRestored() bool {
	if !sm.checker.hasLimits(3, 2) {
		return false
	}
	if sm.zoneOutAnywhere("a") || sm.zoneOutAnywhere("b") {
		return false
	}
	for i := range 6 {
		if v := sm.checker.committed.VM(sm.serverID(i)); v.OutOfService() || v.Pool() != initialPoolOf(sm.serverID(i)) {
			return false
		}
	}
	return true
}

// initialPoolOf returns the pool of a backend server in the initial configuration.
func initialPoolOf(id string) string {
	if strings.HasSuffix(id, "-3") {
		return "side"
	}
	return "main"
}
