package dispatch

import (
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

const (
	// configInterval is the time between two reads of the configuration and the member rows.
	configInterval = 500 * time.Millisecond
	// sliceInterval is the time between two reads of the slice rows, and between two rebalancing plans.
	sliceInterval = time.Second
	// planInterval is the least time between two rebalancing plans while work waits.
	planInterval = 50 * time.Millisecond
	// standingDivisor makes half of each team's limit standing slots.
	standingDivisor = 2
	// drainWindow is how long running jobs may end after their availability zone was taken out, before they are moved.
	drainWindow = 30 * time.Second
	// maxUrgentWaiting bounds the urgent requests of a pool that wait for interruptions. At one interruption a tick the
	// last of them starts within 1.6 s, below the 1.9 s of R16.
	maxUrgentWaiting = 16
	// signalPatience is how long a task that was told to end is expected to make room. One that ignores the signal isn't
	// counted on any longer.
	signalPatience = 2 * time.Second
	// foundLifetime is how long an attempt that a gained backend server listed is remembered for a job that isn't known
	// yet.
	foundLifetime = time.Minute
	// holdTime is how long a call waits for an owner of its pool, and holdInterval how often one is looked for. Backend
	// servers change hands within about a second at a planned stop.
	holdTime     = 3 * time.Second
	holdInterval = 100 * time.Millisecond
	// maxOnHold bounds the calls that wait for an owner of their pool.
	maxOnHold = 1000
	// maxReroutes bounds how often a call is sent elsewhere after another entry VM refused it.
	maxReroutes = 3
	// jobInterval is the time between two delta reads of the rows of unfinished jobs.
	jobInterval = time.Second
	// listInterval is the time between two reads of the VM list.
	listInterval = time.Second
	// changeTimeout bounds the commits of configuration changes and member rows, whose authors wait for them.
	changeTimeout = 3 * time.Second
	// taskLease is how long a backend server keeps a task that nobody renews (design.md, 5.3).
	taskLease = 20 * time.Second
	// taskLeaseGuard is added to taskLease before a task on a lost backend server counts as ended.
	taskLeaseGuard = 2 * time.Second
	// rejoinDelay is the pause before a Run whose reply was lost is sent again.
	rejoinDelay = 200 * time.Millisecond
	// retryAfterBusy is the time to retry after that is told when a queue is full or a state is passing.
	retryAfterBusy = time.Second
	// inlineOutputLimit is the size in bytes up to which an output is kept in its row, not in the object store.
	inlineOutputLimit = 4 << 10
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 5
	// maxPicks bounds the starts decided in one step, so that one event can't occupy the control goroutine.
	maxPicks = 256
	// abandonedJobDelay is how long a job's holder must be absent from the members before another adopts it.
	abandonedJobDelay = 10 * time.Second
	// changeWait is how long an operator waits for a change to be in force before it is told as pending.
	changeWait = 3 * time.Second
	// submitTimeout bounds the wait until a new job is stored. A job that isn't stored by then is refused.
	submitTimeout = 5 * time.Second
	// tableDownDelay is how long the table must be out of reach before what needs it is refused without a try.
	tableDownDelay = 2 * time.Second
	// closeClaimSlack is how long after the deadline the record of a refusal may still be written.
	closeClaimSlack = time.Second
	// recordRetryDelay is the pause before a result that could not be stored is stored again.
	recordRetryDelay = time.Second
	// drainRetryDelay is the pause before a job that could not be handed over is handed over again.
	drainRetryDelay = 200 * time.Millisecond
	// drainSettle is how long a stopping entry VM stays reachable, so that the load balancer notices.
	drainSettle = 500 * time.Millisecond
	// minDueBound is the least length at which the list of looks at requests is compacted.
	minDueBound = 1024
	// digestLifetime is how long a peer's digest is used. Heartbeats come once a second.
	digestLifetime = 3 * time.Second
	// avoidPeerTime is how long a peer that refused work or lost contact gets none.
	avoidPeerTime = 500 * time.Millisecond
	// maxMovesPerTick bounds the waiting requests that one tick hands to other entry VMs.
	maxMovesPerTick = 20
	// earlyRetryDelay is the pause before a take-out or revocation that could not be stored is tried again.
	earlyRetryDelay = time.Second
)

const (
	// TickInterval is how often the owner of a State must send a Tick.
	TickInterval = 100 * time.Millisecond
	// DefaultDeadline applies to a call without a deadline.
	DefaultDeadline = 30 * time.Second
)

// Prefixes of row and object keys.
const (
	configPrefix = catalogue.Prefix
	versionKey   = catalogue.VersionKey
	memberPrefix = "member/"
	slicePrefix  = "slice/"
	jobPrefix    = "job/"
	donePrefix   = "done/"
	inputPrefix  = "input/"
	outputPrefix = "output/"
	answerPrefix = "answer/"
)
