package standin

import (
	"container/list"
	"sort"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// tasks are the attempts that one process of a backend server knows.
type tasks struct {
	// records holds every attempt that was started or closed, and order the same ones, the oldest first.
	records map[attemptKey]*attempt
	order   *list.List
	running map[attemptKey]*attempt
	// answers holds the finished attempts whose answers are kept, in order of their ends.
	answers *list.List
}

func newTasks() tasks {
	return tasks{
		records: make(map[attemptKey]*attempt),
		order:   list.New(),
		running: make(map[attemptKey]*attempt),
		answers: list.New(),
	}
}

func (s *tasks) add(a *attempt) {
	s.records[a.key] = a
	s.order.PushBack(a)
	for s.order.Len() > MaxRecords {
		e := s.order.Front()
		old := e.Value.(*attempt)
		if old.state == attemptRunning {
			s.order.MoveToBack(e)
			continue
		}
		s.order.Remove(e)
		delete(s.records, old.key)
	}
}

// forget drops the answers that are too old or too many. Their records stay, with a stopped answer.
func (s *tasks) forget(now time.Time) {
	for e := s.answers.Front(); e != nil; e = s.answers.Front() {
		a := e.Value.(*attempt)
		if s.answers.Len() <= MaxAnswers && now.Sub(a.ended) < AnswerRetention {
			return
		}
		s.answers.Remove(e)
		a.answer = provider.NewStoppedAnswer(a.key.id, a.key.attempt, "the answer is no longer kept")
	}
}

// listed returns the status of the running tasks and of the finished ones whose answer wasn't fetched, in order of id
// and attempt.
func (s *tasks) listed() []provider.TaskStatus {
	shown := make(map[attemptKey]*attempt, len(s.running))
	for k, a := range s.running {
		shown[k] = a
	}
	for e := s.answers.Front(); e != nil; e = e.Next() {
		if a := e.Value.(*attempt); !a.delivered {
			shown[a.key] = a
		}
	}
	statuses := make([]provider.TaskStatus, 0, len(shown))
	for _, a := range s.inOrder(shown) {
		statuses = append(statuses, provider.NewTaskStatus(a.task, a.state == attemptEnded).WithHolder(a.holder))
	}
	return statuses
}

// crossed returns an answer for another request than that of a: the latest one that is kept, or a made-up one.
func (s *tasks) crossed(a *attempt) provider.Answer {
	for e := s.answers.Back(); e != nil; e = e.Prev() {
		if o := e.Value.(*attempt); o.key.id != a.key.id {
			return o.answer
		}
	}
	n := a.answer
	return provider.NewAnswer("not-"+n.ID(), n.Attempt(), n.OK(), n.Length(), n.Checksum(), n.Output())
}

// coverBy records the holder of the lease for all running tasks, and that it has the answers fetched so far: an answer
// that went into the connection of a holder that was killed has to be listed for the next one. It is done by a report only: a holder that reports has
// received the grant and with it the former holders.
func (s *tasks) coverBy(holder string) {
	for e := s.answers.Front(); e != nil; e = e.Next() {
		a := e.Value.(*attempt)
		a.delivered = a.delivered || a.fetched
	}
	for _, a := range s.running {
		a.holder = holder
	}
}

func (s *tasks) usage() provider.Shape {
	var sum provider.Shape
	for _, a := range s.running {
		sum = sum.Plus(footprint(a.task))
	}
	return sum
}

func (s *tasks) inOrder(attempts map[attemptKey]*attempt) []*attempt {
	sorted := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		sorted = append(sorted, a)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].key.less(sorted[j].key) })
	return sorted
}
