// Package fleet is the control state of the leading entry VM: jobs, backend servers, the runs of tasks on these
// servers, moves of VMs between pools, and maintenance waves. It is a deterministic state machine without clock,
// network or store: events go in, each with its time, and effects to carry out come out, such as commits and requests
// to servers.
//
// A run is stored as an intent before its start request is sent, and the end of a run is stored before the server may
// discard it. All writes are conditional on the version of the term row, so that only the current leader can write.
package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// State is the control state of one leader, from when it acquires leadership until it loses it. The exported fields are
// set before Begin. State isn't safe for concurrent use.
type State struct {
	// EntryVM is the name of this entry VM.
	EntryVM string
	// Term is the term row that this entry VM wrote, Token the fencing token of its requests.
	Term  Term
	Token uint64
	// TermRequestedAt is when the first commit of the term row was sent. The term counts from then.
	TermRequestedAt time.Time
	// PreviousLease is the longest lease that the previous controller may have granted. 0 stands for LongLease.
	PreviousLease time.Duration
	// HandoverPause is the shortest time between requests of two different entry VMs for the same VM.
	HandoverPause time.Duration
	// MaintenanceTime is how long the maintenance of a VM takes, MoveTime how long a move to another pool takes.
	MaintenanceTime, MoveTime time.Duration
	// StopTime is the longest time that a server takes to stop a run.
	StopTime time.Duration
	// MaxLease is the longest lease that a server accepts, by its own clock. 0 stands for 10 s. A server shortens longer ones.
	MaxLease time.Duration
	// AwaitRestore holds back all events until Restore is called, but for those that renew the term. Reading the stored
	// state may take longer than a term.
	AwaitRestore bool
	// CancelPartitions is the number of store partitions that hold requests to cancel jobs, and CancelPartition returns that of a
	// job. A job gets no runs before CancelsRead has come for its partition: the previous leader may have been lost before it
	// learned that the job was cancelled. 0 means that nothing is awaited.
	CancelPartitions int
	CancelPartition  func(job string) int
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, or 0 if it is unknown.
	LinkMbps float64
	// MaxTasks is the number of tasks of unfinished jobs from which on new jobs are refused, or 0 if there is no such number.
	MaxTasks int
	// IgnoreWeights places jobs that customers submit beyond their weight like all others.
	IgnoreWeights bool
	// DisableServerSpeed makes all servers count as equally fast.
	DisableServerSpeed bool
	// DisableCopies gives no task a copy, and DisableRunMoves moves no runs off slow servers. Neither happens without the speed of servers.
	DisableCopies, DisableRunMoves bool
	// CopyPercent is the share of the servers of a pool that may have copies at a time, in percent. 0 stands for 5.
	CopyPercent int
	// Scope receives metrics. It may be nil.
	Scope tally.Scope

	began            time.Time
	restored         bool
	held             []Event   // events that wait for Restore
	now              time.Time // time of the current event
	directory        *directory.Snapshot
	evacuatedZones   map[string]bool
	jobs             map[string]*job
	earlyCancels     map[string]bool // cancellations that were read before their jobs
	unreadCancels    map[int]bool    // the partitions for which CancelsRead is awaited
	servers          map[string]*server
	serversByVM      map[string][]*server            // servers that have registered on a VM and aren't dropped
	formerServers    map[string]formerServer         // dropped servers to which requests may be on the way, by id
	poolCapacity     map[string]workload.Resources   // capacity of a server, by pool
	entitlements     map[string]*entitlement         // by customer
	customerUsage    map[string]workload.Resources   // requested resources of the active runs, by customer
	lateStarts       map[string]lateStarts           // by server id
	latestOnVM       map[string]backend.Registration // of the youngest server that has registered on a VM, by VM
	losses           losses
	crashHistory     crashHistory
	crashAlertUntil  time.Time
	isolatedServers  map[string]int     // servers that isolated runs have or need, by pool
	isolationWaiting map[string][]*step // steps of tasks that wait for isolated runs, by pool
	waves            map[string]*wave
	abandoned        map[string]abandonedRequest // by VM
	maintenanceDue   map[string]bool             // VMs of a wave whose maintenance hasn't begun
	moves            map[string]*move            // by VM
	poolsLoggedAt    time.Time
	capacityShortage bool      // a pool has fewer servers than it needs
	arrivals         workRates // rate of arriving work, by pool
	departures       workRates // rate of finished work, by pool
	vmRequests       []vmRequest
	recentVMRequests map[string]recentVMRequest // by VM
	// vmRequestsStored is true if the row with the recent requests for VMs may hold some.
	vmRequestsStored      bool
	vmRequestsStoredAt    time.Time                      // when the row was last written
	inheritedRequests     map[string]inheritedRequest    // by VM
	requestedBefore       map[string]bool                // VMs for which earlier controllers sent a request shortly before the term
	longRunningShortage   map[string]int                 // additional servers that long-running tasks need, by pool
	lacks                 map[string]map[requirement]int // servers that tasks with a label lack, by pool
	overLimit             map[string]int                 // steps held back by a customer's limit in the last pass, by pool
	vms                   map[string]backend.VM
	vmNames               []string             // the keys of vms in order
	droppedAt             map[string]time.Time // when servers that the list of VMs may still show were dropped, by id
	moveGivenUpAt         map[string]time.Time // when moves whose end the list of VMs didn't show were given up, by VM
	releasing             []*server            // servers whose VMs other pools need
	vmsListedAt           time.Time            // when vms was requested
	vmsRequestedAt        time.Time            // when a list of VMs was last requested, whether or not it could be read
	listingVMs            bool
	pollSequence          uint64
	polls                 pollQueue
	unstoredEnds          map[*server]bool // servers that reported ends since the last commit that stored all ends
	placeAll              bool             // a change may allow starts in any pool
	dirtyPools            map[string]bool  // pools in which a change may allow starts
	placedAt              time.Time
	rebalancedAt          time.Time
	longestServerName     int           // encoded length of the longest id of a server so far
	sortedServers         []*server     // all servers by id, or nil if it has to be rebuilt
	changedJobs           map[*job]bool // jobs whose progress has to be stored
	unstoredAnswers       map[*job]bool // jobs with runs that have started, which their stored progress doesn't say
	stopping              bool
	successor             string // the entry VM in whose favor this one resigns, or ""
	resigned              bool
	deposed               bool
	termEndsAt            time.Time
	renewalNeeded         bool   // a server needs a higher fencing token
	committed             uint64 // version of the latest commit of this term
	renewedAt             time.Time
	longLeaseGrantedAt    time.Time // when a LongLease was last granted
	commit                *commit
	rejections            rejections
	lastCommitDuration    time.Duration // duration of the last commit
	jobsRead              bool          // all jobs that were stored before the term are known
	pending               pendingJobs
	recommendationCall    *recommendationCall // the current call of the recommendation service, or nil
	recommendationRetryAt time.Time           // when the service may be called again after a failure
	effects               []Effect
	counters              counters
	queueSpeeds           map[string]*queueSpeed
	slowServers           map[*server]bool
	stragglers            map[*attempt]bool // runs that may be copied or moved, as they are slow
	copies                map[*attempt]bool
	runMovedAt            map[string]time.Time // when a run was last moved off a slow server, by pool
	backlog               backlog
	waits                 map[string]Wait // of the next renewal of the term; replaced, never changed
	forecastAt            time.Time
}

// Begin initializes the state at the start of the term. It must be called before any other method.
func (s *State) Begin(now time.Time) {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	s.counters = newCounters(s.Scope)
	if s.PreviousLease == 0 {
		s.PreviousLease = LongLease
	}
	if s.CopyPercent == 0 {
		s.CopyPercent = schedule.DefaultCopyPercent
	}
	if s.MaxLease == 0 {
		s.MaxLease = defaultMaxLease
	}
	s.began, s.restored = now, !s.AwaitRestore
	if s.PreviousLease > ShortLease {
		s.longLeaseGrantedAt = now // the next controller doesn't read the previous one's row
	}
	s.evacuatedZones = make(map[string]bool)
	s.jobs = make(map[string]*job)
	s.earlyCancels = make(map[string]bool)
	s.unreadCancels = make(map[int]bool)
	for partition := range s.CancelPartitions {
		s.unreadCancels[partition] = true
	}
	s.servers, s.serversByVM = make(map[string]*server), make(map[string][]*server)
	s.dirtyPools = make(map[string]bool)
	s.unstoredEnds = make(map[*server]bool)
	s.droppedAt, s.moveGivenUpAt = make(map[string]time.Time), make(map[string]time.Time)
	s.changedJobs, s.unstoredAnswers = make(map[*job]bool), make(map[*job]bool)
	s.customerUsage = make(map[string]workload.Resources)
	s.entitlements = make(map[string]*entitlement)
	s.poolCapacity = make(map[string]workload.Resources)
	s.losses, s.isolatedServers, s.isolationWaiting = make(losses), make(map[string]int), make(map[string][]*step)
	s.formerServers, s.lateStarts = make(map[string]formerServer), make(map[string]lateStarts)
	s.latestOnVM = make(map[string]backend.Registration)
	s.crashHistory = crashHistory{unrest: make(map[string]time.Time), rates: make(map[string]*crashRate)}
	s.waves, s.abandoned = make(map[string]*wave), make(map[string]abandonedRequest)
	s.moves = make(map[string]*move)
	s.stragglers, s.copies, s.runMovedAt = make(map[*attempt]bool), make(map[*attempt]bool), make(map[string]time.Time)
	s.queueSpeeds, s.slowServers = make(map[string]*queueSpeed), make(map[*server]bool)
	s.vms = make(map[string]backend.VM)
	s.overLimit = make(map[string]int)
	s.longRunningShortage = make(map[string]int)
	s.lacks = make(map[string]map[requirement]int)
	s.arrivals, s.departures = make(workRates), make(workRates)
	s.recentVMRequests = make(map[string]recentVMRequest)
	s.requestedBefore = make(map[string]bool)
	s.inheritedRequests = make(map[string]inheritedRequest)
	s.pending, s.rejections = newPendingJobs(), newRejections()
	s.termEndsAt = s.TermRequestedAt.Add(s.Term.Duration())
	s.committed = s.Term.Version()
	s.renewedAt = s.TermRequestedAt
}

// Handle applies an event. The effects are collected and returned by TakeEffects. After the loss of leadership events
// are ignored.
func (s *State) Handle(e Event, now time.Time) {
	if s.deposed {
		return
	}
	s.now = now
	if s.holdsBack(e) {
		if _, tick := e.(Tick); !tick {
			s.held = append(s.held, e)
		}
		return
	}
	switch e := e.(type) {
	case Tick:
		s.tick(now)
	case JobArrived:
		s.addJob(e.Job, now)
	case JobsRead:
		s.jobsRead = true
	case CancelRequested:
		s.cancel(e.ID, now)
	case CancelsRead:
		s.cancelsRead(e.Partition)
	case JobsRemoved:
		for _, id := range e.IDs {
			delete(s.earlyCancels, id)
		}
	case OperationArrived:
		s.applyOperation(e.Operation, now)
	case ServerRegistered:
		s.register(e.Registration, now)
	case ServerUnregistered:
		s.unregister(e.ID)
	case PollEnded:
		s.pollEnded(e, now)
	case StartEnded:
		s.startEnded(e, now)
	case StopEnded:
		s.stopEnded(e, now)
	case CommitEnded:
		s.commitEnded(e.Outcome, now)
	case VMsListed:
		s.vmsListed(e)
	case MaintenanceEnded:
		s.maintenanceEnded(e, now)
	case VMMoveEnded:
		s.moveEnded(e, now)
	case RecommendationEnded:
		s.recommendationEnded(e, now)
	case PaceEnded:
		s.paceEnded(e)
	case WaveStatusPublished:
		s.wavePublished(e)
	case Stopping:
		s.stopping = true
	case TermClaimed:
		s.termClaimed(e)
	case ExplanationRequested:
		s.emit(Explained{Ticket: e.Ticket, Explanation: s.explain(e.Job, now)})
	}
}

// TakeEffects places pending tasks, polls servers and commits changes where due, and returns all effects since the last
// call, in the order in which they are to be carried out. It is called after each batch of events.
func (s *State) TakeEffects(now time.Time) []Effect {
	if !s.deposed {
		s.placeIfDue(now)
		s.sendPolls(now)
		s.commitChanges(now)
	}
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// ServerCount returns the number of backend servers that are registered or may have runs.
func (s *State) ServerCount() int { return len(s.servers) }

// maySendRequests reports whether this entry VM is certainly the leader and not about to stop, so that it may start
// runs and send requests for VMs.
func (s *State) maySendRequests(now time.Time) bool {
	return s.restored && !s.stopping && now.Before(s.termEndsAt)
}

func (s *State) tick(now time.Time) {
	s.placeAll = true
	s.countIdleTime(now)
	for _, j := range s.jobs {
		if j.occurrences < j.spec.Occurrences() {
			j.createDueOccurrences(now)
		}
	}
	for _, v := range s.allServers() {
		if len(v.attempts) > 0 && v.unresponsive() && now.After(v.expiresAt) {
			s.expireRuns(v, now)
		}
		s.superviseRuns(v, now)
		s.adjustPace(v, now)
	}
	s.expireSpeeds(now)
	s.endLateStarts(now)
	s.measureLateStarts(now)
	for id, former := range s.formerServers {
		if now.Sub(former.droppedAt) >= maxCallDelay {
			delete(s.formerServers, id)
		}
	}
	s.listVMs(now)
	s.advanceWaves(now)
	s.rebalance(now)
}

// termClaimed resigns in favor of a faster entry VM. A claim that was stored before this term is on an earlier one, and its
// claimant may be gone.
func (s *State) termClaimed(e TermClaimed) {
	if s.stopping || !e.Claim.Claims(s.Term) || e.Version <= s.Token {
		return
	}
	klog.InfoS("Resigning in favor of a faster entry VM", "vm", s.EntryVM, "token", s.Token, "successor", e.Claim.Claimant)
	s.stopping, s.successor = true, e.Claim.Claimant
}

func (s *State) depose(reason string) {
	if s.deposed {
		return
	}
	s.deposed = true
	klog.InfoS("Lost leadership", "vm", s.EntryVM, "token", s.Token, "reason", reason)
	s.emit(Deposed{Reason: reason})
}

func (s *State) applyOperation(o directory.Operation, now time.Time) {
	switch o := o.(type) {
	case directory.ConfigurationPublished:
		if s.directory == nil || o.Snapshot.Version() > s.directory.Version() {
			s.directory = o.Snapshot
		}
	case directory.ZoneEvacuated:
		s.evacuatedZones[o.Zone] = true
	case directory.ZoneRestored:
		delete(s.evacuatedZones, o.Zone)
	case directory.Wave:
		s.addWave(o, now)
	case directory.WaveCancelled:
		s.cancelWave(o.Name)
	}
	s.placeAll = true
}

// holdsBack reports whether an event has to wait until the stored state is restored. Until then the term is renewed, and
// nothing else happens.
func (s *State) holdsBack(e Event) bool {
	if s.restored {
		return false
	}
	switch e.(type) {
	case CommitEnded, Stopping, TermClaimed:
		return false
	}
	return true
}

// restoredExpiry returns the time at which runs that an earlier controller started have certainly ended, even if their
// server can't be reached. The term of the earlier controller was over when this one began, and leases are extended
// only for leaseExtensionGrace after a term.
func (s *State) restoredExpiry() time.Time {
	return s.began.Add(leaseExtensionGrace + onSlowestClock(s.PreviousLease) + leaseMargin)
}

// allServers returns all servers, sorted by id.
func (s *State) allServers() []*server {
	if s.sortedServers == nil {
		s.sortedServers = make([]*server, 0, len(s.servers))
		for _, v := range s.servers {
			s.sortedServers = append(s.sortedServers, v)
		}
		slices.SortFunc(s.sortedServers, func(a, b *server) int { return strings.Compare(a.id, b.id) })
	}
	return s.sortedServers
}

func (s *State) dropServer(v *server) {
	s.cancelPolls(v)
	s.forgetSpeed(v)
	delete(s.unstoredEnds, v)
	s.setRegisteredVM(v, "")
	delete(s.servers, v.id)
	if v.token != 0 {
		s.formerServers[v.id] = formerServer{droppedAt: s.now, token: v.token}
	}
	if len(s.vms) > 0 {
		s.droppedAt[v.id] = s.now
	}
	s.sortedServers = nil
}

// markChanged marks the progress of a job to be stored with the next commit.
func (s *State) markChanged(j *job) {
	j.changed = true
	s.changedJobs[j] = true
}

func (s *State) ensureServer(id string) *server {
	v, ok := s.servers[id]
	if !ok {
		v = newServer(id)
		v.lateStarts = s.lateStartsOf(id)
		v.expiresAt = s.restoredExpiry()
		if former, known := s.formerServers[id]; known {
			v.token, v.needsToken, v.returned = former.token, true, true
		}
		s.servers[id] = v
		s.sortedServers = nil
		s.longestServerName = max(s.longestServerName, encodedName(id))
	}
	return v
}
