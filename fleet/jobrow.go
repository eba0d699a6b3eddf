package fleet

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// newTaskShare is the share of a job's row up to which tasks without a record are started. What is above is left for
	// further runs of those that have one, which their records outlast.
	newTaskShare = 0.75
	// knownTaskShare is the share up to which tasks with a record are started.
	knownTaskShare = 0.95

	// runRecordBytes bounds the record of a task with one run without the names of servers and VMs, in each state that it can reach, and
	// runServerNames these names in it: in the assignment, the loss and what may still start late.
	runRecordBytes = 900
	runServerNames = 6
	// minMeasuredRuns is how many further runs a row is measured with at least, if there are as many tasks.
	minMeasuredRuns = 100
	// checkpointBytes is kept for the next checkpoint of a run.
	checkpointBytes = 64
	// maxLateEntries bounds the records of starts of a task that may still be carried out.
	maxLateEntries = 2

	rowMeasureInterval = 200 * time.Millisecond // between two measurements of a row that holds no further run
	emptyRowBytes      = 512                    // bounds the row of a job without runs
)

// rowBound is an upper bound of the size that the row of a job can reach with its present runs.
type rowBound struct {
	bytes int
	// fullAt is when a measurement showed that the row holds no further run, or zero.
	fullAt time.Time
}

// hasRowFor reports whether the row of the tasks' job holds a further run of each of them, whatever becomes of the runs. A row
// that has room for the checkpoints, losses and crashes to come is never too long for the store.
func (s *State) hasRowFor(tasks []*task, now time.Time) bool {
	b := &tasks[0].job.row
	share := knownTaskShare
	if len(tasks) == 1 && tasks[0].record.LastRun == 0 {
		share = newTaskShare
	}
	limit := int(share * workload.MaxProgressBytes)
	growth := len(tasks) * s.runBytes()
	if b.bytes+growth <= limit {
		return true
	}
	if now.Sub(b.fullAt) < rowMeasureInterval {
		return false
	}
	// The bound of the growth is far above that of a compressed row, so the row is measured with as many runs as may follow.
	// Any tasks may then follow, and so the limit is that of tasks without a record.
	j, measured, measuredLimit := tasks[0].job, tasks, limit
	if len(tasks) == 1 {
		measured = tasks[0].nextTasks(max(maxActiveRuns-j.activeRuns, minMeasuredRuns), now)
		measuredLimit = int(newTaskShare * workload.MaxProgressBytes)
	}
	if size := s.worstProgress(j, measured, now).PackedBytes(); size <= measuredLimit {
		b.bytes = size - len(measured)*s.runBytes()
		return true
	}
	b.bytes = s.worstProgress(j, nil, now).PackedBytes()
	if b.bytes+growth <= limit {
		return true
	}
	if len(tasks) > 1 || j.activeRuns == 0 {
		with := s.worstProgress(j, tasks, now)
		removeCheckpoints(with)
		if size := with.PackedBytes(); size <= limit {
			b.bytes = size - growth
			return true
		}
	}
	b.fullAt = now
	return false
}

// nextTasks returns the task and others of its step that may be started after it.
func (t *task) nextTasks(count int, now time.Time) []*task {
	next := []*task{t}
	for _, other := range t.step.tasks[min(t.id.Index+1, len(t.step.tasks)):] {
		if len(next) >= count {
			break
		}
		if other.needsRun(now) {
			next = append(next, other)
		}
	}
	return next
}

// restoredRowBytes bounds the size that a row can reach that an earlier controller stored.
func (s *State) restoredRowBytes(p workload.Progress) int {
	const doneBytes = 32 // of the name of a step or the index of a task
	size := emptyRowBytes + doneBytes*(len(p.DoneSteps)+len(p.DoneRanges))
	for _, indexes := range p.DoneTasks {
		size += doneBytes * (1 + len(indexes))
	}
	for _, r := range p.Tasks {
		size += max(1, len(r.Assignments)+len(r.Losses)) * s.runBytes()
	}
	return size
}

// runBytes bounds by how much a run lets the row of its job grow.
func (s *State) runBytes() int {
	return base64.StdEncoding.EncodedLen(runRecordBytes + runServerNames*s.longestServerName)
}

// encodedName returns the length of a name in a JSON string.
func encodedName(name string) int {
	data, err := json.Marshal(name)
	if err != nil {
		panic(err) // a string can always be encoded
	}
	return len(data)
}

// worstProgress returns the progress of a job with the longest record that each task can reach with its present runs and with one
// more of each of the given tasks.
func (s *State) worstProgress(j *job, placed []*task, now time.Time) workload.Progress {
	p := j.progress(now)
	if p.Tasks == nil {
		p.Tasks = make(map[string]workload.TaskRecord, len(placed))
	}
	servers := s.allServers()
	for n, t := range placed {
		r, known := p.Tasks[t.localName]
		if !known {
			r = t.stored(now)
		}
		r.LastRun++
		r.Assignments = append(r.Assignments, workload.Assignment{
			Server: servers[n%len(servers)].id, VM: servers[n%len(servers)].reg.VM, Incarnation: now.UnixMilli(), Run: r.LastRun,
		})
		p.Tasks[t.localName] = r
	}
	for local, r := range p.Tasks {
		p.Tasks[local] = s.worstRecord(j, local, r, now)
	}
	return p
}

// worstRecord returns the longest record that a task can reach without further runs.
func (s *State) worstRecord(j *job, local string, r workload.TaskRecord, now time.Time) workload.TaskRecord {
	t := j.tasks[local]
	r.EndedRun, r.GivenUp, r.CrashedAtStart = r.LastRun, true, true
	r.Crashes += len(r.Assignments) + len(r.Losses)
	r.CertainCrashes, r.IsolatedCrashes = r.Crashes, r.Crashes
	r.Failures = r.LastRun
	if !t.step.spec.LongRunning() {
		r.FailedRuns = nil
		for run := 1; run <= min(r.LastRun, s.maxAttempts(j)); run++ {
			r.FailedRuns = append(r.FailedRuns, run)
		}
	}
	if len(r.Assignments) == 0 {
		r.Checkpoint = r.Checkpoint[:min(len(r.Checkpoint), checkpointBytes)] // longer ones may be left out
		return r
	}
	r.Checkpoint = incompressible(local, checkpointBytes)
	assignments, losses := make([]workload.Assignment, 0, len(r.Assignments)), append([]workload.Loss(nil), r.Losses...)
	for _, a := range r.Assignments {
		a.Isolated, a.LossRecorded, a.EndsByMS = true, true, now.UnixMilli()+int64(xxhash.Sum64String(local)%1e6)
		a.Repeated, a.Ticketed, a.StartableUntilMS = true, true, now.UnixMilli()+int64(xxhash.Sum64String("startable "+local)%1e6)
		assignments = append(assignments, a)
		for range 1 + maxLateEntries {
			losses = append(losses, workload.Loss{
				Server: a.Server, Incarnation: a.Incarnation, Run: a.Run, Started: true, AtStart: true, Isolated: true,
			})
		}
	}
	r.Assignments, r.Losses = assignments, losses
	return r
}

// incompressible returns a text of a length that no compression shortens to less than half, and that differs for each seed.
func incompressible(seed string, length int) string {
	text := make([]byte, 0, length+16)
	for state := xxhash.Sum64String(seed); len(text) < length; {
		block := binary.BigEndian.AppendUint64(nil, state)
		text = hex.AppendEncode(text, block)
		state = xxhash.Sum64(block)
	}
	return string(text[:length])
}

// encodeProgress returns the row of a job. If it is too long for the store in spite of hasRowFor, as a checkpoint may have any
// length, it leaves out the checkpoints. It reports whether the store accepts the row.
func encodeProgress(p workload.Progress) (row []byte, ok bool) {
	if row = p.Encode(); len(row) <= workload.MaxProgressBytes {
		return row, true
	}
	removeCheckpoints(p)
	row = p.Encode()
	return row, len(row) <= workload.MaxProgressBytes
}

func removeCheckpoints(p workload.Progress) {
	for local, r := range p.Tasks {
		r.Checkpoint = ""
		p.Tasks[local] = r
	}
}
