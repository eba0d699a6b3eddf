package deployment

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pistachiolead/pistachiolead/intake"
)

// endedJob is a job whose row of progress says that it has ended and that nothing of it runs.
type endedJob struct {
	id      string
	version uint64 // of the row of progress
	since   time.Time
}

// endedJobs holds the ended jobs that the leader knows. It is safe for concurrent use.
type endedJobs struct {
	mu sync.Mutex
	// earlier holds the jobs that ended before the term, by store partition, in ascending order of their ids.
	earlier   [intake.Partitions][]earlierJob
	earlierAt time.Time // when the last of them was read
	current   [intake.Partitions]map[string]endedJob
}

// earlierJob is the compact form of a job that ended before the term. There may be a million.
type earlierJob struct {
	id      string
	version uint64
}

// add adds a job that ended in this term.
func (e *endedJobs) add(j endedJob) {
	partition := intake.PartitionOf(j.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current[partition] == nil {
		e.current[partition] = make(map[string]endedJob)
	}
	e.current[partition][j.id] = j
}

// addEarlier adds jobs that ended before the term, in ascending order of their ids. Each call adds greater ids.
func (e *endedJobs) addEarlier(jobs []earlierJob, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.earlierAt = now
	for _, j := range jobs {
		partition := intake.PartitionOf(j.id)
		e.earlier[partition] = append(e.earlier[partition], j)
	}
}

// contains reports whether the row of a job, with the given version, is of a job that has ended. A later row is of a new job
// with the same id.
func (e *endedJobs) contains(id string, rowVersion uint64) bool {
	partition := intake.PartitionOf(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if j, ok := e.current[partition][id]; ok {
		return rowVersion < j.version
	}
	at, found := findEarlier(e.earlier[partition], id)
	return found && rowVersion < e.earlier[partition][at].version
}

func findEarlier(jobs []earlierJob, id string) (int, bool) {
	return slices.BinarySearchFunc(jobs, id, func(j earlierJob, id string) int { return strings.Compare(j.id, id) })
}

// endedBefore returns the versions of the rows of progress of jobs in a partition that ended before the given time, by id.
func (e *endedJobs) endedBefore(partition int, t time.Time) map[string]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	versions := make(map[string]uint64)
	if e.earlierAt.Before(t) {
		for _, j := range e.earlier[partition] {
			versions[j.id] = j.version
		}
	}
	for id, j := range e.current[partition] {
		if j.since.Before(t) {
			versions[id] = j.version
		}
	}
	return versions
}

// remove removes jobs of a partition with the given versions of their rows of progress.
func (e *endedJobs) remove(partition int, versions map[string]uint64) {
	removed := func(id string, version uint64) bool {
		v, ok := versions[id]
		return ok && v == version
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.earlier[partition] = slices.DeleteFunc(e.earlier[partition], func(j earlierJob) bool { return removed(j.id, j.version) })
	for id, j := range e.current[partition] {
		if removed(id, j.version) {
			delete(e.current[partition], id)
		}
	}
}
