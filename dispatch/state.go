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

// State is the control state of one entry VM. Its exported fields are set before the first call of Start.
type State struct {
	// Self is the id of the entry VM, Zone its availability zone.
	Self, Zone string
	// Address is the address that other entry VMs reach this one at.
	Address string
	// Incarnation distinguishes processes of the same entry VM.
	Incarnation uint64
	// Owners, Members, Grant and Acceptance decide about leases, members and configuration.
	Owners     *ownership.State
	Members    *membership.State
	Grant      *freshness.Lease
	Acceptance *freshness.Propagation
	// Queue holds the work that waits.
	Queue *queue.Queue
	// Chooser, Ledger, Retries and Backoff decide about starts.
	Chooser *placement.Chooser
	Ledger  *quota.Ledger
	Retries *retry.Budget
	Backoff *retry.Backoff
	// Scope counts outcomes and faults.
	Scope tally.Scope

	now     time.Time
	effects []Effect

	config *catalogue.Configuration
	vms    map[string]provider.VM // backend servers of all zones, as last listed
	listed bool

	neverFit map[string]bool // by entry, until the configuration or the VM list changes

	works   map[string]*work          // by request id
	onHold  map[string]*work          // calls kept for want of an owner of their pool, by request id
	runs    map[runKey]*run           // attempts that may occupy a slot
	running map[string]provider.Shape // by team, what runs occupy
	jobs    map[string]*jobRow        // rows of unfinished jobs, by request id
	due     dueHeap
	// dueBound is the length of due at which ended requests are removed from it.
	dueBound int

	peers     map[string]*peerState
	owning    []string             // live entry VMs of the own zone as the ownership decisions know them, nil at first
	entryVMs  map[string]bool      // as last listed
	goneSince map[string]time.Time // holders of slices that are no longer listed
	downSince map[string]time.Time // backend servers of the own zone that can't be reached

	nextTicket uint64
	commits    map[uint64]func(provider.CommitOutcome)
	scans      map[uint64]func(ScanEnded)
	puts       map[uint64]func(provider.PutOutcome)
	gets       map[uint64]func(provider.GetOutcome)

	changes []changeWaiter
	early   map[string]*earlyChange
	reads   readState
	// lostAt is, by team, when a backend server with its runs was lost last. coveredSince and sliceReadAt tell when
	// that is settled.
	lostAt                    map[string]time.Time
	coveredSince, sliceReadAt time.Time
	// zoneOutAt is when the own availability zone was seen to be out, zero while it is in service.
	zoneOutAt time.Time
	// found are attempts seen on owned backend servers that no work here waits for, by request id.
	found map[string]foundRun
	drain drainState
}

// Start initializes the state and returns the first effects.
func (s *State) Start(now time.Time) []Effect {
	s.config = catalogue.NewConfiguration()
	s.vms = make(map[string]provider.VM)
	s.works = make(map[string]*work)
	s.runs = make(map[runKey]*run)
	s.onHold = make(map[string]*work)
	s.running = make(map[string]provider.Shape)
	s.neverFit = make(map[string]bool)
	s.entryVMs = make(map[string]bool)
	s.goneSince = make(map[string]time.Time)
	s.downSince = make(map[string]time.Time)
	s.lostAt = make(map[string]time.Time)
	s.found = make(map[string]foundRun)
	s.Ledger.Gone = s.holderGone
	s.Ledger.Wanted = s.othersWant
	s.Ledger.Standing = s.standingSlots
	s.Ledger.Demand = s.demand
	s.jobs = make(map[string]*jobRow)
	s.peers = make(map[string]*peerState)
	s.commits = make(map[uint64]func(provider.CommitOutcome))
	s.scans = make(map[uint64]func(ScanEnded))
	s.puts = make(map[uint64]func(provider.PutOutcome))
	s.gets = make(map[uint64]func(provider.GetOutcome))
	s.early = make(map[string]*earlyChange)
	s.reads.memberVersions = make(map[string]uint64)
	return s.Handle(Tick{}, now)
}

// Handle applies an event and returns what is to be done. The result is valid until the next call.
func (s *State) Handle(e Event, now time.Time) []Effect {
	s.now = now
	s.effects = s.effects[:0]
	s.apply(e)
	s.startWork()
	s.planWhenShort()
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
		s.owners(ownership.NewAcquireEnded(e.server, e.sent, e.outcome))
	case ReportEnded:
		s.owners(ownership.NewReportEnded(e.server, e.epoch, e.sent, e.outcome))
	case ReleaseEnded:
		s.owners(ownership.NewReleaseEnded(e.server, e.epoch, e.outcome))
	case CommitEnded:
		s.commitEnded(e)
	case ScanEnded:
		s.scanEnded(e)
	case PutEnded:
		s.putEnded(e)
	case GetEnded:
		s.getEnded(e)
	case Listed:
		s.listEnded(e)
	case HeartbeatEnded:
		s.heartbeatEnded(e)
	case HeartbeatHeard:
		s.heartbeatHeard(e)
	case ForwardEnded:
		s.forwardEnded(e)
	case Pushed:
		s.pushed(e)
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
	case Draining:
		s.startDrain()
	}
}

func (s *State) tick() {
	s.owners(ownership.Tick{})
	s.members(membership.Tick{})
	s.readPeriodically()
	s.expireRequests()
	s.checkRuns()
	s.checkChanges()
	s.retryEarly()
	s.makeRoom()
	s.drainZone()
	s.moveWaiting()
	s.checkDrain()
}

// Configuration returns the configuration that decisions use.
func (s *State) Configuration() *catalogue.Configuration { return s.config }

// Fresh reports whether new work may start.
func (s *State) Fresh(now time.Time) bool { return s.Grant.Fresh(now) }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

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
