// Package intake handles the API calls of customers. It takes a decoded call, authorizes it against the configuration,
// stores the job or the cancellation, or reads the state of a job or the length of a queue, and returns an Outcome that
// the caller maps to a response.
package intake

import (
	"context"
	"hash/fnv"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Partitions is the number of store partitions that jobs are spread over. A partition applies its transactions
// sequentially: about 150 a second, and 2 a second while the store is at its slowest. Even then all partitions together
// accept a burst of 150 jobs a second.
const Partitions = 128

// Key prefixes of the rows that intake writes. The job id follows the prefix.
const (
	JobPrefix     = "jobs/"
	CancelPrefix  = "cancels/"
	RefusalPrefix = "refusals/"
)

const (
	responseReserve = 150 * time.Millisecond // kept before the caller's deadline to send the response
	maxRefusalDelay = 500 * time.Millisecond // until a call is refused if the store rejects its write
	initialBackoff  = 30 * time.Millisecond  // before the second attempt to write; doubles with each attempt
	retryAfter      = time.Second            // by then another entry VM, or the store, may accept the call
)

// PartitionOf returns the number, from 0, of the store partition that holds the rows of a job.
func PartitionOf(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % Partitions)
}

// PartitionName returns the name of a store partition in calls to the store.
func PartitionName(partition int) string { return "jobs-" + strconv.Itoa(partition) }

// Handler handles the calls of customers. Its exported fields must be set before use.
type Handler struct {
	Configuration *directory.Cache
	// JobTables are the store partitions with jobs, ControlTable the partition that the controller writes.
	JobTables    [Partitions]provider.Table
	ControlTable provider.Table
	// MaxKeyAge is the largest age of the configuration at which keys are checked against it.
	MaxKeyAge time.Duration
	// StoreContactTimeout is the time without a response of the store after which all calls are refused at once.
	StoreContactTimeout time.Duration
	// FullFor returns after which time the leader is expected to have room for new jobs again, or 0 if it has. nil stands for a
	// function that returns 0.
	FullFor func() time.Duration
	// Forecast returns the last known forecast of the leader. nil stands for a function that returns none: no job is refused
	// because it would end too late.
	Forecast func() Forecast
	Clock    timer.Clock
	Scope    tally.Scope

	seenVersion atomic.Uint64 // the highest version of the store that this entry VM has seen
}

// Call holds the fields that all calls have.
type Call struct {
	ID       string // identifies the call in logs
	Host     string
	Path     string
	Key      string    // the customer's API key, or ""
	Deadline time.Time // when the caller stops waiting for the response
}

// Outcome is the outcome of a call: one of the types below.
type Outcome interface{ outcome() }

// Accepted means that the job or its cancellation is stored.
type Accepted struct{}

// Refused means that the call had no effect and won't have any. The caller may repeat it after RetryAfter, unless that is 0.
type Refused struct {
	Reason     string
	RetryAfter time.Duration
}

// Full means that the job isn't stored and won't be, because the leader has no room for its tasks, or because the job would end
// after its hard deadline. The caller may repeat the call after RetryAfter.
type Full struct{ RetryAfter time.Duration }

// OutcomeUnknown means that the call may have taken effect, or may still do so.
type OutcomeUnknown struct{ Reason string }

// UnknownQueue means that no queue matches the host and path of the call.
type UnknownQueue struct{}

// UnknownKey means that no customer has the key.
type UnknownKey struct{}

// Invalid means that the call is malformed. Reason is the validation error.
type Invalid struct{ Reason string }

// UnknownJob means that no job with the id is stored.
type UnknownJob struct{}

// JobStatus holds the state of a job.
type JobStatus struct{ State workload.JobState }

// PendingJobs holds the number of pending jobs of a queue.
type PendingJobs struct{ Count int }

func (Accepted) outcome()       {}
func (Refused) outcome()        {}
func (Full) outcome()           {}
func (OutcomeUnknown) outcome() {}
func (UnknownQueue) outcome()   {}
func (UnknownKey) outcome()     {}
func (Invalid) outcome()        {}
func (UnknownJob) outcome()     {}
func (JobStatus) outcome()      {}
func (PendingJobs) outcome()    {}

// Admission is the result of a successful authorization: the queue that the call may use.
type Admission struct {
	queue    directory.Queue
	customer string // "" if the queue needs no key
	suffix   string // of the path, after the queue's prefix
	// seenVersion is the highest version of the store that this entry VM had seen when the call arrived.
	seenVersion uint64
}

// PathSuffix returns the part of the path after the queue's prefix: a job id, or "" for the queue itself.
func (a Admission) PathSuffix() string { return a.suffix }

// Admit finds the queue of a call and checks its key. The outcome is nil if the call is authorized. Otherwise it is
// Refused, UnknownQueue or UnknownKey.
func (h *Handler) Admit(c Call) (Admission, Outcome) {
	seenVersion := h.seenVersion.Load()
	snapshot, asOf := h.Configuration.Snapshot()
	if snapshot == nil {
		return Admission{}, h.refuse(c, "no-configuration", 0)
	}
	age := h.Clock.Now().Sub(asOf)
	// Every call needs the store. If it doesn't respond here, the caller may reach another entry VM that the store
	// responds to. A slow store still counts as responding.
	if h.Clock.Now().Sub(h.Configuration.LastContact()) > h.StoreContactTimeout {
		return Admission{}, h.refuse(c, "store-silent", age)
	}
	queue, found := snapshot.MatchQueue(c.Host, c.Path)
	if !found {
		klog.InfoS("Call refused", "call", c.ID, "reason", "no-queue", "host", c.Host, "path", c.Path,
			"configuration", snapshot.Version(), "configuration-age", age)
		return Admission{}, UnknownQueue{}
	}
	admission := Admission{queue: queue, suffix: c.Path[len(queue.Prefix):], seenVersion: seenVersion}
	if queue.AllowsAnonymous {
		return admission, nil
	}
	// A revoked key must stop working even if this entry VM can't read the revocation.
	if age > h.MaxKeyAge {
		return Admission{}, h.refuse(c, "keys-too-old", age)
	}
	customer, known := snapshot.CustomerByKey(c.Key)
	if !known {
		klog.InfoS("Call refused", "call", c.ID, "reason", "unknown-key", "queue", queue.Name,
			"configuration", snapshot.Version(), "configuration-age", age)
		return Admission{}, UnknownKey{}
	}
	admission.customer = customer
	return admission, nil
}

func (h *Handler) refuse(c Call, reason string, age time.Duration) Outcome {
	h.Scope.Counter("refused").Inc(1)
	klog.InfoS("Call refused", "call", c.ID, "reason", reason, "configuration-age", age, "retry-after", retryAfter)
	return Refused{Reason: reason, RetryAfter: retryAfter}
}

// Submit stores a job. It is idempotent: a job with an id that is already stored is accepted again, because the caller
// may have missed the first response. The outcome is Accepted, Refused, Full, OutcomeUnknown or Invalid.
func (h *Handler) Submit(c Call, a Admission, o workload.JobOptions) Outcome {
	now := h.Clock.Now()
	job, err := newJob(a, o, now)
	if err != nil {
		return Invalid{Reason: err.Error()}
	}
	if limit := now.Add(MaxSubmitTime); c.Deadline.After(limit) {
		c.Deadline = limit
	}
	if outcome := h.refuseWhileFull(c, o.ID); outcome != nil {
		return outcome
	}
	if outcome := h.refuseLate(c, job); outcome != nil {
		return outcome
	}
	stored := h.storeJob(c, a, job)
	h.Scope.Histogram("accept-latency", latencyBuckets).RecordDuration(h.Clock.Now().Sub(now))
	switch out := stored.(type) {
	case provider.Committed:
		klog.InfoS("Job accepted", "call", c.ID, "job", o.ID, "queue", job.Queue(), "customer", job.Customer(),
			"version", out.Version(), "took", h.Clock.Now().Sub(now))
		return Accepted{}
	case provider.Conflict:
		switch out.Row().Key() {
		case RefusalPrefix + o.ID:
			return h.refuseAgain(c, o.ID)
		case CancelPrefix + o.ID:
			h.Scope.Counter("refused").Inc(1)
			klog.InfoS("Call refused", "call", c.ID, "reason", "cancelled", "job", o.ID)
			return Refused{Reason: "cancelled"} // a later call gets the same answer
		}
		klog.InfoS("Job already accepted", "call", c.ID, "job", o.ID, "version", out.Row().Version())
		return Accepted{}
	case provider.Rejected:
		return Invalid{Reason: "the store rejects the job: " + out.Reason()}
	case provider.Unavailable:
		return h.refuse(c, "store-unavailable: "+out.Reason(), 0)
	case provider.OutcomeUnknown:
		klog.InfoS("Outcome of storing the job is unknown", "call", c.ID, "job", o.ID, "reason", out.Reason())
		return OutcomeUnknown{Reason: out.Reason()}
	}
	return OutcomeUnknown{Reason: "unexpected outcome"}
}

// newJob returns the job of a submission that is accepted at the given time.
func newJob(a Admission, o workload.JobOptions, now time.Time) (*workload.Job, error) {
	o.Queue, o.Customer, o.AcceptedMS = a.queue.Name, a.customer, now.UnixMilli()
	o.Pool, o.MaxAttempts, o.Priority = a.queue.Pool, a.queue.MaxAttempts, a.queue.Priority
	o.Stretch, o.SlackMS = a.queue.Stretch, a.queue.Slack.Milliseconds()
	job, err := workload.NewJob(o)
	if err != nil {
		return nil, err //nolint:wrapcheck // shown to the caller
	}
	return job, fleet.CheckLimits(job)
}

// Explain returns the job that a submission to a queue would store now, and its outcome if nothing goes wrong: Accepted, Full with
// the least time to retry, or Invalid without a job. Nothing is stored.
func (h *Handler) Explain(q directory.Queue, customer string, o workload.JobOptions) (*workload.Job, Outcome) {
	job, err := newJob(Admission{queue: q, customer: customer}, o, h.Clock.Now())
	if err != nil {
		return nil, Invalid{Reason: err.Error()}
	}
	if fullFor := h.fullFor(); fullFor > 0 {
		return job, Full{RetryAfter: fullFor}
	}
	if lateness, late := h.endsTooLate(job); late {
		return job, Full{RetryAfter: lateness.By()}
	}
	return job, Accepted{}
}

// commit commits an idempotent transaction, such as the first write of a row, and retries it with exponential backoff.
// While no attempt can have been applied it stops after maxRefusalDelay. After an attempt with an unknown outcome it
// retries until shortly before the deadline, because only a later attempt can show whether the transaction was applied.
func (h *Handler) commit(partition int, tx provider.Transaction, deadline time.Time) provider.CommitOutcome {
	began := h.Clock.Now()
	unknownReason := ""
	for backoff := initialBackoff; ; backoff *= 2 {
		outcome := h.JobTables[partition].Commit(context.Background(), tx)
		var reason string
		switch o := outcome.(type) {
		case provider.Committed:
			h.ObserveVersion(o.Version())
			return outcome
		case provider.Conflict:
			h.ObserveVersion(o.Row().Version())
			return outcome
		case provider.Rejected:
			return outcome
		case provider.OutcomeUnknown:
			unknownReason, reason = o.Reason(), o.Reason()
		case provider.Unavailable:
			reason = o.Reason()
		}
		now := h.Clock.Now()
		if now.Add(backoff+responseReserve).After(deadline) || (unknownReason == "" && now.Sub(began) >= maxRefusalDelay) {
			if unknownReason != "" {
				return provider.NewOutcomeUnknown(unknownReason)
			}
			return provider.NewUnavailable(reason)
		}
		timer.Wait(context.Background(), h.Clock, backoff)
	}
}

// Cancel stores a request to cancel a job. The controller stops the job's runs later. The request is stored before the job is
// looked for: a job that isn't stored by then never will be, even if the store has yet to carry out an unanswered write of it.
// The outcome is Accepted, Refused, OutcomeUnknown or UnknownJob.
func (h *Handler) Cancel(c Call, id string) Outcome {
	partition := PartitionOf(id)
	tx := provider.NewTransaction(nil, []provider.Write{provider.NewPut(CancelPrefix+id, []byte("{}"))})
	switch out := h.commit(partition, tx, c.Deadline).(type) {
	case provider.Committed:
		return h.outcomeOfCancel(c, id, out.Version())
	case provider.Unavailable:
		return h.refuse(c, "store-unavailable: "+out.Reason(), 0)
	case provider.OutcomeUnknown:
		return OutcomeUnknown{Reason: out.Reason()}
	case provider.Rejected:
		return Invalid{Reason: "the store rejects the request: " + out.Reason()}
	case provider.Conflict:
		return OutcomeUnknown{Reason: "conflict without a condition"}
	}
	return OutcomeUnknown{Reason: "unexpected outcome"}
}

// outcomeOfCancel reads whether the job exists whose cancellation is stored, and retries failed reads until shortly before the
// deadline.
func (h *Handler) outcomeOfCancel(c Call, id string, version uint64) Outcome {
	for backoff := initialBackoff; ; backoff *= 2 {
		_, found, reason := read(h.JobTables[PartitionOf(id)], JobPrefix+id)
		if reason == "" {
			klog.InfoS("Cancellation stored", "call", c.ID, "job", id, "version", version, "known-job", found)
			if !found {
				return UnknownJob{}
			}
			return Accepted{}
		}
		if h.Clock.Now().Add(backoff + responseReserve).After(c.Deadline) {
			return OutcomeUnknown{Reason: "store-unreadable: " + reason}
		}
		timer.Wait(context.Background(), h.Clock, backoff)
	}
}

// JobState reads the state of a job. The outcome is JobStatus, Refused, OutcomeUnknown or UnknownJob.
func (h *Handler) JobState(c Call, id string) Outcome {
	row, found, reason := read(h.ControlTable, fleet.ProgressPrefix+id)
	if reason != "" {
		return h.refuse(c, "store-unreadable: "+reason, 0)
	}
	if found {
		p, err := workload.DecodeProgress(row.Value())
		if err != nil {
			klog.ErrorS(err, "Failed to decode stored job progress", "job", id)
			return OutcomeUnknown{Reason: err.Error()}
		}
		return JobStatus{State: p.VisibleState()}
	}
	_, found, reason = read(h.JobTables[PartitionOf(id)], JobPrefix+id)
	switch {
	case reason != "":
		return h.refuse(c, "store-unreadable: "+reason, 0)
	case !found:
		return UnknownJob{}
	}
	return JobStatus{State: workload.JobQueued}
}

// PendingJobs reads the number of pending jobs of a queue. The controller stores the number when it has changed,
// at most once a second. The outcome is PendingJobs, Refused or OutcomeUnknown.
func (h *Handler) PendingJobs(c Call, a Admission) Outcome {
	row, found, reason := read(h.ControlTable, fleet.PendingJobsPrefix+a.queue.Name)
	switch {
	case reason != "":
		return h.refuse(c, "store-unreadable: "+reason, 0)
	case !found:
		return PendingJobs{}
	}
	n, err := fleet.DecodePendingJobs(row)
	if err != nil {
		klog.ErrorS(err, "Failed to decode stored number of pending jobs", "queue", a.queue.Name)
		return OutcomeUnknown{Reason: err.Error()}
	}
	return PendingJobs{Count: n}
}

// read reads the row with a key. Reason is "" unless the read failed.
func read(t provider.Table, key string) (row provider.Row, found bool, reason string) {
	switch o := t.Scan(context.Background(), key, 0).(type) {
	case provider.Rows:
		for _, r := range o.Rows() {
			if r.Key() == key && !r.Deleted() {
				return r, true, ""
			}
		}
		return provider.Row{}, false, ""
	case provider.Unavailable:
		return provider.Row{}, false, o.Reason()
	}
	return provider.Row{}, false, "unexpected outcome"
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 12)
