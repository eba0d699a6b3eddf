package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/freshness"
	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
	"github.com/pistachiolead/pistachiolead/quota"
	"github.com/pistachiolead/pistachiolead/retry"
)

// State is the control state of one entry VM. It isn't safe for concurrent use. Set the exported fields before calling
// Start; only Scope may be nil.
type State struct {
	// EntryVM is the id of the entry VM, Zone its availability zone.
	EntryVM, Zone string
	// Address is the host:port at which other entry VMs reach this one.
	Address string
	// Incarnation distinguishes processes of the same entry VM.
	Incarnation uint64
	// Ownership decides about the leases of backend servers, Membership about live entry VMs, FreshnessLease about the
	// freshness of the configuration, and Propagation about when a configuration version is in force.
	Ownership      *ownership.State
	Membership     *membership.State
	FreshnessLease *freshness.Lease
	Propagation    *freshness.Propagation
	// Queue holds the work that waits for a backend server.
	Queue *queue.Queue
	// Placer selects backend servers, and Ledger counts the teams' slots. Retries limits the retries of calls, and
	// Backoff sets their delays.
	Placer  *placement.Placer
	Ledger  *quota.Ledger
	Retries *retry.Budget
	Backoff *retry.Backoff
	// Scope counts outcomes and faults.
	Scope tally.Scope

	now     time.Time
	effects []Effect

	config    *catalogue.Configuration
	vms       map[string]provider.VM // backend servers of all zones, as last listed
	vmsListed bool

	neverFitCache map[string]bool // by entry, until the configuration or the VM list changes

	workItems     map[string]*workItem      // by request id
	awaitingOwner map[string]*workItem      // calls that wait for an owner of their pool, by request id
	runs          map[runKey]*run           // attempts that occupy a slot, or may
	running       map[string]provider.Shape // by team, capacity used by runs
	jobs          map[string]*jobRow        // rows of unfinished jobs, by request id
	timers        timerHeap
	// timerCompactLength is the number of timers at which those of ended requests are removed.
	timerCompactLength int

	peers               map[string]*peerState
	ownershipMembers    []string             // live entry VMs of the own zone last passed to Ownership, nil at first
	entryVMs            map[string]bool      // as last listed
	holderUnlistedSince map[string]time.Time // by holder of slices that is no longer listed
	unreachableSince    map[string]time.Time // by unreachable backend server of the own zone

	nextTicket uint64
	commits    map[uint64]func(provider.CommitOutcome)
	scans      map[uint64]func(ScanEnded)
	puts       map[uint64]func(provider.PutOutcome)
	gets       map[uint64]func(provider.GetOutcome)

	changeWaiters []changeWaiter
	earlyChanges  map[string]*earlyChange
	reads         tableReads
	// lastServerLoss is, by team, when the lease of a backend server with runs of the team was last lost. coveredSince
	// is since when peersCovered holds, zero if it doesn't. sliceReadAt is when the last successful read of the slice
	// rows was sent. Together they determine when the slots of lost runs are released.
	lastServerLoss            map[string]time.Time
	coveredSince, sliceReadAt time.Time
	// zoneOutAt is when the own availability zone was first found to be out of service, zero while it is in service.
	zoneOutAt time.Time
	// discovered holds attempts reported by owned backend servers that have no work item here, by request id.
	discovered map[string]discoveredRun
	drain      drainState
}

// Start initializes the state and returns the first effects. It must be called once, before Handle.
func (s *State) Start(now time.Time) []Effect {
	s.config = catalogue.NewConfiguration()
	s.vms = make(map[string]provider.VM)
	s.workItems = make(map[string]*workItem)
	s.runs = make(map[runKey]*run)
	s.awaitingOwner = make(map[string]*workItem)
	s.running = make(map[string]provider.Shape)
	s.neverFitCache = make(map[string]bool)
	s.entryVMs = make(map[string]bool)
	s.holderUnlistedSince = make(map[string]time.Time)
	s.unreachableSince = make(map[string]time.Time)
	s.lastServerLoss = make(map[string]time.Time)
	s.discovered = make(map[string]discoveredRun)
	s.Ledger.Reclaimable = s.holderGone
	s.Ledger.OthersShort = s.peerShortOfSlots
	s.Ledger.Baseline = s.baselineSlots
	s.Ledger.Demand = s.demand
	s.jobs = make(map[string]*jobRow)
	s.peers = make(map[string]*peerState)
	s.commits = make(map[uint64]func(provider.CommitOutcome))
	s.scans = make(map[uint64]func(ScanEnded))
	s.puts = make(map[uint64]func(provider.PutOutcome))
	s.gets = make(map[uint64]func(provider.GetOutcome))
	s.earlyChanges = make(map[string]*earlyChange)
	s.reads.memberVersions = make(map[string]uint64)
	return s.Handle(Tick{}, now)
}

// Handle applies an event that happened at the time now and returns the effects to carry out. The slice is valid until
// the next call.
func (s *State) Handle(e Event, now time.Time) []Effect {
	s.now = now
	s.effects = s.effects[:0]
	s.apply(e)
	s.startWork()
	s.planIfWorkWaits()
	return s.effects
}

func (s *State) apply(e Event) {
	switch e := e.(type) {
	case Submitted:
		s.submit(e)
	case Cancelled:
		s.cancel(e)
	case RunEnded:
		s.runEnded(e)
	case CloseEnded:
		s.closeEnded(e)
	case SignalEnded:
		s.signalEnded(e)
	case AcquireEnded:
		s.ownershipEvent(ownership.NewAcquireEnded(e.server, e.sent, e.outcome))
	case ReportEnded:
		s.ownershipEvent(ownership.NewReportEnded(e.server, e.epoch, e.sent, e.outcome))
	case ReleaseEnded:
		s.ownershipEvent(ownership.NewReleaseEnded(e.server, e.epoch, e.outcome))
	case CommitEnded:
		s.commitEnded(e)
	case ScanEnded:
		s.scanEnded(e)
	case PutEnded:
		s.putEnded(e)
	case GetEnded:
		s.getEnded(e)
	case ListEnded:
		s.listEnded(e)
	case HeartbeatEnded:
		s.heartbeatEnded(e)
	case HeartbeatReceived:
		s.heartbeatReceived(e)
	case ForwardEnded:
		s.forwardEnded(e)
	case PushReceived:
		s.changePushed(e)
	case PushEnded:
		s.pushEnded(e)
	case ChangeRequested:
		s.changeRequested(e)
	case ChangeQueried:
		s.changeQueried(e)
	case Tick:
		s.tick()
	case StatusQueried:
		s.reply(e.ticket, s.status())
	case ExplanationQueried:
		s.reply(e.ticket, s.explain(e.request))
	case DrainRequested:
		s.startDrain()
	}
}

func (s *State) tick() {
	s.ownershipEvent(ownership.Tick{})
	s.membershipEvent(membership.Tick{})
	s.readPeriodically()
	s.expireRequests()
	s.expireRuns()
	s.answerChangeWaiters()
	s.retryEarly()
	s.preemptForUrgent()
	s.drainZone()
	s.moveWaiting()
	s.checkDrain()
}

// Configuration returns the configuration in use.
func (s *State) Configuration() *catalogue.Configuration { return s.config }

// Fresh reports whether the configuration is fresh, which is required to start new work.
func (s *State) Fresh(now time.Time) bool { return s.FreshnessLease.Fresh(now) }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// reply emits an outcome for the event with the ticket. Events without one have the ticket 0 and get no reply.
func (s *State) reply(ticket uint64, o Outcome) {
	if ticket == 0 {
		return
	}
	s.emit(Reply{ticket: ticket, outcome: o})
}

func (s *State) count(name string) {
	if s.Scope != nil {
		s.Scope.Counter(name).Inc(1)
	}
}

func (s *State) commit(
	t provider.Transaction, u Urgency, deadline time.Time, done func(provider.CommitOutcome),
) {
	s.nextTicket++
	s.commits[s.nextTicket] = done
	s.emit(Commit{ticket: s.nextTicket, transaction: t, urgency: u, deadline: deadline})
}

func (s *State) commitEnded(e CommitEnded) {
	done, ok := s.commits[e.ticket]
	if !ok {
		return
	}
	delete(s.commits, e.ticket)
	done(e.outcome)
}

func (s *State) scan(prefix string, since uint64, done func(ScanEnded)) {
	s.nextTicket++
	s.scans[s.nextTicket] = done
	s.emit(Scan{ticket: s.nextTicket, prefix: prefix, since: since})
}

func (s *State) scanEnded(e ScanEnded) {
	done, ok := s.scans[e.ticket]
	if !ok {
		return
	}
	delete(s.scans, e.ticket)
	done(e)
}

func (s *State) put(name string, data []byte, done func(provider.PutOutcome)) {
	s.nextTicket++
	s.puts[s.nextTicket] = done
	s.emit(Put{ticket: s.nextTicket, name: name, data: data})
}

func (s *State) putEnded(e PutEnded) {
	done, ok := s.puts[e.ticket]
	if !ok {
		return
	}
	delete(s.puts, e.ticket)
	done(e.outcome)
}

func (s *State) get(name string, done func(provider.GetOutcome)) {
	s.nextTicket++
	s.gets[s.nextTicket] = done
	s.emit(Get{ticket: s.nextTicket, name: name})
}

func (s *State) getEnded(e GetEnded) {
	done, ok := s.gets[e.ticket]
	if !ok {
		return
	}
	delete(s.gets, e.ticket)
	done(e.outcome)
}
