// Package intake decides what becomes of the calls of customers: it checks keys, stores jobs and cancellations, and
// answers for the state of jobs.
package intake

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Parts is the number of parts of the store that jobs are spread over. A part applies its transactions one after
// another: about 150 a second, and two a second while the store is at its slowest. Then the parts together still take a
// burst of 150 jobs a second.
const Parts = 128

// Prefixes of the rows that intake writes.
const (
	JobPrefix    = "jobs/"
	CancelPrefix = "cancels/"
)

const (
	answerReserve = 150 * time.Millisecond // for the answer's way back to the caller
	refusalTime   = 500 * time.Millisecond // until a caller is told to come back, if the store refuses a write
	firstPause    = 30 * time.Millisecond  // between two attempts to write; doubles with each
	retryBusy     = time.Second            // until another entry VM or the store may be able to accept
)

// Part returns the part of the store that a job's rows are in.
func Part(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % Parts)
}

// PartName returns the name of a part.
func PartName(part int) string { return "jobs-" + strconv.Itoa(part) }

// Desk handles the calls of customers. Its exported fields are set before use.
type Desk struct {
	Directory *directory.Current
	// Jobs are the parts with jobs, Control is the part that the controller writes.
	Jobs    [Parts]provider.Table
	Control provider.Table
	// KeyTrust is how old the knowledge of keys may be.
	KeyTrust time.Duration
	// StoreSilence is how long the store may not be heard of before calls are refused at once.
	StoreSilence time.Duration
	Timer        timer.Service
	Scope        tally.Scope
}

// Call is what all calls have in common.
type Call struct {
	ID       string // of the request, for logs
	Host     string
	Path     string
	Key      string
	Deadline time.Time // when the caller stops waiting
}

// Outcome is the outcome of a call.
type Outcome interface{ outcome() }

// Accepted says that the job or its cancellation is stored.
type Accepted struct{}

// Refused says that the call had no effect and never will. RetryAfter tells when to come back.
type Refused struct {
	Reason     string
	RetryAfter time.Duration
}

// Unsure says that the call may have had its effect.
type Unsure struct{ Reason string }

// NoQueue says that no queue has the path.
type NoQueue struct{}

// NoKey says that the key isn't known.
type NoKey struct{}

// Invalid says what is wrong with the call.
type Invalid struct{ Reason string }

// NoJob says that there is no such job.
type NoJob struct{}

// InState tells the state of a job.
type InState struct{ State workload.JobState }

// Waiting tells how many jobs of a queue wait.
type Waiting struct{ Jobs int }

func (Accepted) outcome() {}
func (Refused) outcome()  {}
func (Unsure) outcome()   {}
func (NoQueue) outcome()  {}
func (NoKey) outcome()    {}
func (Invalid) outcome()  {}
func (NoJob) outcome()    {}
func (InState) outcome()  {}
func (Waiting) outcome()  {}

// Pass is the permission to use a queue.
type Pass struct {
	queue    directory.Queue
	customer string
	rest     string
}

// Rest returns what follows the queue's prefix in the path.
func (p Pass) Rest() string { return p.rest }

// Admit checks the queue and the key of a call. The outcome is nil if the call may go on.
func (d *Desk) Admit(c Call) (Pass, Outcome) {
	snapshot, asOf := d.Directory.Snapshot()
	if snapshot == nil {
		return Pass{}, d.refuse(c, "no-configuration", 0)
	}
	age := d.Timer.Now().Sub(asOf)
	// Every call needs the store, and the caller may reach another entry VM that it answers. A slow store isn't silent.
	if d.Timer.Now().Sub(d.Directory.Heard()) > d.StoreSilence {
		return Pass{}, d.refuse(c, "store-silent", age)
	}
	queue, found := snapshot.Match(c.Host, c.Path)
	if !found {
		klog.InfoS("Call refused", "call", c.ID, "reason", "no-queue", "host", c.Host, "path", c.Path,
			"configuration", snapshot.Version(), "configuration-age", age)
		return Pass{}, NoQueue{}
	}
	p := Pass{queue: queue, rest: c.Path[len(queue.Prefix):]}
	if queue.Open {
		return p, nil
	}
	// A key that was revoked must stop working even if this entry VM can't hear of it.
	if age > d.KeyTrust {
		return Pass{}, d.refuse(c, "keys-too-old", age)
	}
	customer, known := snapshot.KeyHolder(c.Key)
	if !known {
		klog.InfoS("Call refused", "call", c.ID, "reason", "unknown-key", "queue", queue.Name,
			"configuration", snapshot.Version(), "configuration-age", age)
		return Pass{}, NoKey{}
	}
	p.customer = customer
	return p, nil
}

func (d *Desk) refuse(c Call, reason string, age time.Duration) Outcome {
	d.Scope.Counter("refused").Inc(1)
	klog.InfoS("Call refused", "call", c.ID, "reason", reason, "configuration-age", age, "retry-after", retryBusy)
	return Refused{Reason: reason, RetryAfter: retryBusy}
}

// Submit stores a job. A job that is stored already is accepted again: the caller may have missed the first answer.
func (d *Desk) Submit(c Call, p Pass, o workload.JobOptions) Outcome {
	now := d.Timer.Now()
	o.Queue, o.Customer, o.AcceptedMS = p.queue.Name, p.customer, now.UnixMilli()
	o.Pool, o.Attempts, o.Priority = p.queue.Pool, p.queue.Attempts, p.queue.Priority
	o.Stretch, o.SlackMS = p.queue.Stretch, p.queue.Slack.Milliseconds()
	job, err := workload.NewJob(o)
	if err != nil {
		return Invalid{Reason: err.Error()}
	}
	key := JobPrefix + o.ID
	tx := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(key, 0)}, []provider.Write{provider.NewPut(key, job.Encode())})
	stored := d.commit(Part(o.ID), tx, c.Deadline)
	d.Scope.Histogram("accept-latency", latencyBuckets).RecordDuration(d.Timer.Now().Sub(now))
	switch out := stored.(type) {
	case provider.Committed:
		klog.InfoS("Job accepted", "call", c.ID, "job", o.ID, "queue", o.Queue, "customer", o.Customer,
			"version", out.Version(), "took", d.Timer.Now().Sub(now))
		return Accepted{}
	case provider.Conflict:
		klog.InfoS("Job accepted again", "call", c.ID, "job", o.ID, "version", out.Row().Version())
		return Accepted{}
	case provider.Unavailable:
		return d.refuse(c, "store-unavailable: "+out.Reason(), 0)
	case provider.Unknown:
		klog.InfoS("Job may be accepted", "call", c.ID, "job", o.ID, "reason", out.Reason())
		return Unsure{Reason: out.Reason()}
	}
	return Unsure{Reason: "unexpected outcome"}
}

// commit applies a transaction that may be applied twice, such as the first write of a row. After an attempt without an
// answer it goes on until shortly before the caller stops waiting, as that attempt may still be applied.
func (d *Desk) commit(part int, tx provider.Transaction, deadline time.Time) provider.CommitOutcome {
	began := d.Timer.Now()
	doubt := ""
	for pause := firstPause; ; pause *= 2 {
		outcome := d.Jobs[part].Commit(context.Background(), tx)
		var reason string
		switch o := outcome.(type) {
		case provider.Committed, provider.Conflict:
			return outcome
		case provider.Unknown:
			doubt, reason = o.Reason(), o.Reason()
		case provider.Unavailable:
			reason = o.Reason()
		}
		now := d.Timer.Now()
		if now.Add(pause+answerReserve).After(deadline) || (doubt == "" && now.Sub(began) >= refusalTime) {
			if doubt != "" {
				return provider.NewUnknown(doubt)
			}
			return provider.NewUnavailable(reason)
		}
		timer.Wait(context.Background(), d.Timer, pause)
	}
}

// Cancel stores the wish to cancel a job.
func (d *Desk) Cancel(c Call, id string) Outcome {
	part := Part(id)
	_, found, reason := read(d.Jobs[part], JobPrefix+id)
	if reason != "" {
		return d.refuse(c, "store-unreadable: "+reason, 0)
	}
	if !found {
		return NoJob{}
	}
	tx := provider.NewTransaction(nil, []provider.Write{provider.NewPut(CancelPrefix+id, []byte("{}"))})
	switch out := d.commit(part, tx, c.Deadline).(type) {
	case provider.Committed:
		klog.InfoS("Cancellation stored", "call", c.ID, "job", id, "version", out.Version())
		return Accepted{}
	case provider.Unavailable:
		return d.refuse(c, "store-unavailable: "+out.Reason(), 0)
	case provider.Unknown:
		return Unsure{Reason: out.Reason()}
	case provider.Conflict:
		return Unsure{Reason: "conflict without a condition"}
	}
	return Unsure{Reason: "unexpected outcome"}
}

// State tells the state of a job.
func (d *Desk) State(c Call, id string) Outcome {
	row, found, reason := read(d.Control, fleet.ProgressPrefix+id)
	if reason != "" {
		return d.refuse(c, "store-unreadable: "+reason, 0)
	}
	if found {
		p, err := workload.DecodeProgress(row.Value())
		if err != nil {
			klog.ErrorS(err, "Stored progress can't be read", "job", id)
			return Unsure{Reason: err.Error()}
		}
		return InState{State: p.State}
	}
	_, found, reason = read(d.Jobs[Part(id)], JobPrefix+id)
	switch {
	case reason != "":
		return d.refuse(c, "store-unreadable: "+reason, 0)
	case !found:
		return NoJob{}
	}
	return InState{State: workload.JobQueued}
}

// Waiting tells how many jobs of a queue wait. The controller stores it every second.
func (d *Desk) Waiting(c Call, p Pass) Outcome {
	row, found, reason := read(d.Control, fleet.PendingJobsPrefix+p.queue.Name)
	switch {
	case reason != "":
		return d.refuse(c, "store-unreadable: "+reason, 0)
	case !found:
		return Waiting{}
	}
	n, err := fleet.DecodePendingJobs(row)
	if err != nil {
		klog.ErrorS(err, "Stored number of waiting jobs can't be read", "queue", p.queue.Name)
		return Unsure{Reason: err.Error()}
	}
	return Waiting{Jobs: n}
}

// read returns a row. The reason isn't empty if the store can't be read.
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
