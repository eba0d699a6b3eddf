package standin

import (
	"container/list"
	"sort"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// tasks holds the records of attempts in one process of a backend server.
type tasks struct {
	// records holds the attempts that were started or closed, and byAge the same ones, the oldest first.
	records map[attemptKey]*attempt
	byAge   *list.List
	running map[attemptKey]*attempt
	// answers holds the finished attempts whose answers are kept, in order of their ends.
	answers *list.List
}

func newTasks() tasks {
	return tasks{
		records: make(map[attemptKey]*attempt),
		byAge:   list.New(),
		running: make(map[attemptKey]*attempt),
		answers: list.New(),
	}
}

func (s *tasks) add(a *attempt) {
	s.records[a.key] = a
	s.byAge.PushBack(a)
	for s.byAge.Len() > MaxAttemptRecords {
		e := s.byAge.Front()
		old := e.Value.(*attempt)
		if old.state == attemptRunning {
			s.byAge.MoveToBack(e)
			continue
		}
		s.byAge.Remove(e)
		delete(s.records, old.key)
	}
}

// dropOldAnswers drops answers older than AnswerRetention and the oldest ones beyond MaxAnswers. Their records are
// kept, with a stopped answer.
func (s *tasks) dropOldAnswers(now time.Time) {
	for e := s.answers.Front(); e != nil; e = s.answers.Front() {
		a := e.Value.(*attempt)
		if s.answers.Len() <= MaxAnswers && now.Sub(a.endedAt) < AnswerRetention {
			return
		}
		s.answers.Remove(e)
		a.answer = provider.NewStoppedAnswer(a.key.id, a.key.attempt, "the answer was discarded")
	}
}

// statuses returns the status of the running tasks and of the finished ones whose answer wasn't acknowledged, in order
// of id and attempt.
func (s *tasks) statuses() []provider.TaskStatus {
	shown := make(map[attemptKey]*attempt, len(s.running))
	for k, a := range s.running {
		shown[k] = a
	}
	for e := s.answers.Front(); e != nil; e = e.Next() {
		if a := e.Value.(*attempt); !a.acknowledged {
			shown[a.key] = a
		}
	}
	statuses := make([]provider.TaskStatus, 0, len(shown))
	for _, a := range s.sortedByKey(shown) {
		statuses = append(statuses, provider.NewTaskStatus(a.task, a.state == attemptEnded).WithHolder(a.holder))
	}
	return statuses
}

// misrouted returns an answer to another request than that of a: the latest one that is kept, or else the answer of a
// under a different id.
func (s *tasks) misrouted(a *attempt) provider.Answer {
	for e := s.answers.Back(); e != nil; e = e.Prev() {
		if o := e.Value.(*attempt); o.key.id != a.key.id {
			return o.answer
		}
	}
	n := a.answer
	return provider.NewAnswer("not-"+n.ID(), n.Attempt(), n.OK(), n.Length(), n.Checksum(), n.Output())
}

// recordReport marks the answers fetched so far as acknowledged, and sets the holder of all running tasks. An Acquire
// does neither. An answer that was sent to a holder that has crashed must be listed for the next holder. And the grant,
// which lists the previous holders of the tasks, may be lost, while a report shows that it was received.
func (s *tasks) recordReport(holder string) {
	for e := s.answers.Front(); e != nil; e = e.Next() {
		a := e.Value.(*attempt)
		a.acknowledged = a.acknowledged || a.fetched
	}
	for _, a := range s.running {
		a.holder = holder
	}
}

func (s *tasks) usage() provider.Shape {
	var sum provider.Shape
	for _, a := range s.running {
		sum = sum.Plus(resourceUse(a.task))
	}
	return sum
}

func (s *tasks) sortedByKey(attempts map[attemptKey]*attempt) []*attempt {
	sorted := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		sorted = append(sorted, a)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].key.less(sorted[j].key) })
	return sorted
}
