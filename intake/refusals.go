package intake

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// MaxSubmitTime bounds the time in which a submission writes to the store, however long the caller waits. It bounds the time for
// which the row of a refusal has to be kept.
const MaxSubmitTime = 10 * time.Second

// ObserveVersion records that the store has reached a version. Versions rise over all partitions of the store.
func (h *Handler) ObserveVersion(version uint64) {
	for {
		seen := h.seenVersion.Load()
		if version <= seen || h.seenVersion.CompareAndSwap(seen, version) {
			return
		}
	}
}

// storeJob stores a job unless it is stored, was cancelled, or was refused since the call arrived. The outcome tells which by the
// key of the conflicting row.
//
// The row of a refusal keeps earlier calls from storing the job, whose writes may be carried out late: each write has the version
// of that row as a condition, 0 at first. A call that finds the row may have arrived before the refusal or after it. If this entry
// VM had seen the version of the row, or a higher one, when the call arrived, the refusal was stored before that, and the job is
// stored with this version as the condition.
func (h *Handler) storeJob(c Call, a Admission, j *workload.Job) provider.CommitOutcome {
	key, refusalKey := JobPrefix+j.ID(), RefusalPrefix+j.ID()
	refusal, refusedBefore := uint64(0), false
	for {
		// The conditions are checked in this order: a conflict is with the request to cancel, or the refusal, only if there is no job.
		tx := provider.NewTransaction([]provider.Condition{
			provider.NewCondition(key, 0), provider.NewCondition(CancelPrefix+j.ID(), 0), provider.NewCondition(refusalKey, refusal),
		}, []provider.Write{provider.NewPut(key, j.Encode())})
		outcome := h.commit(PartitionOf(j.ID()), tx, c.Deadline)
		switch o := outcome.(type) {
		case provider.Unavailable:
			if refusedBefore {
				// A write without a response before the last conflict may still be carried out once the row of the refusal is removed.
				return provider.NewOutcomeUnknown(o.Reason())
			}
			return outcome
		case provider.Conflict:
			if o.Row().Key() != refusalKey || o.Row().Version() > a.seenVersion {
				return outcome
			}
			refusal, refusedBefore = o.Row().Version(), true
		default:
			return outcome
		}
		if !h.Clock.Now().Add(responseReserve).Before(c.Deadline) {
			return provider.NewOutcomeUnknown("the row of a refusal changed")
		}
	}
}

// storeRefusal stores that a job is refused, unless the job is stored. No write of the job that was sent before is carried out then.
func (h *Handler) storeRefusal(c Call, id string) provider.CommitOutcome {
	tx := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(JobPrefix+id, 0)},
		[]provider.Write{provider.NewPut(RefusalPrefix+id, []byte("{}"))})
	return h.commit(PartitionOf(id), tx, c.Deadline)
}
