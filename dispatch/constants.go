package dispatch

import (
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

const (
	// configInterval is the pause between two reads of the configuration and the member rows.
	configInterval = 500 * time.Millisecond
	// sliceInterval is the pause between two reads of the slice rows. Each read is followed by a rebalancing plan.
	sliceInterval = time.Second
	// planInterval is the minimum time between two rebalancing plans that are made because requests are queued.
	planInterval = 50 * time.Millisecond
	// baselineDivisor divides each team's limit. The quotient, one half of the limit, is split evenly among the members
	// as their baselines.
	baselineDivisor = 2
	// zoneDrainPeriod is how long running jobs may finish after their availability zone was taken out. Jobs that still
	// run then are checkpointed and moved.
	zoneDrainPeriod = 30 * time.Second
	// maxUrgentWaiting is the largest number of urgent requests of a pool that are queued for preemption. At one
	// preemption per tick the last of them starts within 1.6 s, below the 1.9 s of R16.
	maxUrgentWaiting = 16
	// signalTimeout is the time within which a task that was signalled to stop should free its slot. A task that still
	// runs after it is assumed to ignore the signal, and another task may be preempted in its place.
	signalTimeout = 2 * time.Second
	// discoveredRunLifetime is how long an attempt reported by a newly owned backend server is remembered while no job
	// row with its id has been read.
	discoveredRunLifetime = time.Minute
	// ownerWaitTimeout is how long a call waits for an entry VM that owns a backend server of its pool, and
	// ownerWaitInterval the pause between two checks. Backend servers change owner within about a second at a planned
	// stop.
	ownerWaitTimeout  = 3 * time.Second
	ownerWaitInterval = 100 * time.Millisecond
	// maxAwaitingOwner is the largest number of calls that wait for an owner of their pool.
	maxAwaitingOwner = 1000
	// maxReroutes is how often a call is forwarded again after another entry VM refused it.
	maxReroutes = 3
	// jobInterval is the pause between two incremental reads of the rows of unfinished jobs.
	jobInterval = time.Second
	// listInterval is the time between two reads of the VM list.
	listInterval = time.Second
	// changeTimeout is the time limit for committing configuration changes and member rows. The authors of changes wait
	// for the outcome.
	changeTimeout = 3 * time.Second
	// taskLease is how long a backend server runs a task without a renewal before it stops the task (design.md, 5.3).
	taskLease = 20 * time.Second
	// taskLeaseGuard is added to taskLease before a task on a backend server whose lease was lost counts as ended.
	taskLeaseGuard = 2 * time.Second
	// resendDelay is the pause before a Run without a reply is sent again.
	resendDelay = 200 * time.Millisecond
	// retryAfterBusy is the retry-after time of refusals for a temporary reason, such as a full queue.
	retryAfterBusy = time.Second
	// inlineOutputLimit is the largest output, in bytes, that is stored in the job's row. Larger ones go to the object
	// store.
	inlineOutputLimit = 4 << 10
	// maxAttempts is the largest number of attempts of one call.
	maxAttempts = 5
	// maxStartsPerEvent is the largest number of starts decided in one call of State.Handle, so that one event can't
	// block the control goroutine.
	maxStartsPerEvent = 256
	// adoptionDelay is how long a job's holder must be missing from the live members before another entry VM adopts the
	// job.
	adoptionDelay = 10 * time.Second
	// inForceTimeout is how long the reply to an operator is delayed until the change is in force. After it the change
	// is reported as pending.
	inForceTimeout = 3 * time.Second
	// submitTimeout is the time limit for storing a new job. A job that isn't stored by then is refused.
	submitTimeout = 5 * time.Second
	// tableDownThreshold is how long the table must be unreachable before requests that need it are refused at once.
	tableDownThreshold = 2 * time.Second
	// closeClaimGrace is how long after the request's deadline the record of its refusal may still be written.
	closeClaimGrace = time.Second
	// recordRetryDelay is the pause before another attempt to store a job's result.
	recordRetryDelay = time.Second
	// handoverRetryDelay is the pause before another attempt to release a job during a planned stop.
	handoverRetryDelay = 200 * time.Millisecond
	// drainGracePeriod is how long a stopping entry VM still accepts requests, so that the load balancer can detect the
	// stop.
	drainGracePeriod = 500 * time.Millisecond
	// minTimerCompactLength is the smallest number of timers at which those of ended requests are removed.
	minTimerCompactLength = 1024
	// digestLifetime is how long a peer's digest is used. Heartbeats are sent once a second.
	digestLifetime = 3 * time.Second
	// peerAvoidance is how long nothing is forwarded to a peer that refused work or couldn't be reached.
	peerAvoidance = 500 * time.Millisecond
	// maxMovesPerTick is the largest number of queued requests that are moved to other entry VMs per tick.
	maxMovesPerTick = 20
	// earlyChangeRetryDelay is the pause before another attempt to commit a take-out or revocation.
	earlyChangeRetryDelay = time.Second
)

const (
	// TickInterval is the time between two Tick events that the owner of a State must send.
	TickInterval = 100 * time.Millisecond
	// DefaultCallTimeout is the time limit of a call without a deadline. The entry's maximum deadline applies if it is
	// shorter.
	DefaultCallTimeout = 30 * time.Second
)

// Prefixes of row and object keys.
const (
	configPrefix = catalogue.RowPrefix
	versionKey   = catalogue.VersionKey
	memberPrefix = "member/"
	slicePrefix  = "slice/"
	jobPrefix    = "job/"
	donePrefix   = "done/"
	inputPrefix  = "input/"
	outputPrefix = "output/"
	answerPrefix = "answer/"
)
