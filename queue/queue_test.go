package queue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

var start = time.Unix(1000, 0)

func slots(n int) provider.Shape { return provider.NewShape(n, n, 0, n) }

// model is the set of waiting requests that the queue must agree with.
type model struct {
	queue   queue.Queue
	waiting map[string]queue.Request
	now     time.Time
	serial  int
}

func (m *model) request(r *rapid.T) queue.Request {
	m.serial++
	id := fmt.Sprint(m.serial)
	if rapid.IntRange(0, 9).Draw(r, "repeat id") == 0 {
		id = fmt.Sprint(rapid.IntRange(1, m.serial).Draw(r, "id"))
	}
	arrived := m.now.Add(-time.Duration(rapid.SampledFrom([]int{0, 0, 0, 5, 700, 1300}).Draw(r, "age")) * time.Second)
	deadline := time.Time{}
	if rapid.Bool().Draw(r, "has deadline") {
		deadline = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(r, "deadline")) * time.Second)
	}
	return queue.NewRequest(id,
		rapid.SampledFrom([]string{"p", "q"}).Draw(r, "pool"), "e",
		rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "team"),
		queue.Class(rapid.IntRange(0, 2).Draw(r, "class")), slots(rapid.IntRange(1, 3).Draw(r, "slots")),
		arrived, deadline)
}

// expectedCode returns the code with which Push must refuse the request, empty if it must be queued.
func (m *model) expectedCode(n queue.Request) string {
	_, duplicate := m.waiting[n.ID()]
	wait := m.queue.ExpectedWait(n, m.now)
	bound := map[queue.Class]time.Duration{
		queue.ClassUrgent: 1900 * time.Millisecond, queue.ClassInteractive: 10 * time.Second,
	}
	late := !n.Deadline().IsZero() && m.now.Add(wait).After(n.Deadline())
	switch {
	case !n.Deadline().IsZero() && !m.now.Before(n.Deadline()):
		return queue.CodeDeadlinePassed
	case duplicate:
		return queue.CodeDuplicateID
	case m.backlog(n.Team()) >= m.queue.Bound:
		return queue.CodeQueueFull
	case late || (n.Class() != queue.ClassArchive && wait > bound[n.Class()]):
		return queue.CodeTooBusy
	default:
		return ""
	}
}

func (m *model) backlog(team string) int {
	n := 0
	for _, w := range m.waiting {
		if w.Team() == team {
			n++
		}
	}
	return n
}

func (m *model) push(r *rapid.T) {
	m.expire(r)
	n := m.request(r)
	code := m.expectedCode(n)
	admission := m.queue.Admission(n, m.now)
	outcome := m.queue.Push(n, m.now)
	assert.Equal(r, admission, outcome)
	switch o := outcome.(type) {
	case queue.Queued:
		assert.Equal(r, code, "")
		m.waiting[n.ID()] = n
	case queue.Refused:
		assert.Equal(r, o.Code(), code)
		busy := code == queue.CodeQueueFull || code == queue.CodeTooBusy
		assert.Equal(r, o.RetryAfter() > 0, busy)
	}
}

func (m *model) readmit(r *rapid.T) {
	m.expire(r)
	n := m.request(r)
	m.queue.Requeue(n, m.now)
	if _, ok := m.waiting[n.ID()]; !ok {
		m.waiting[n.ID()] = n
	}
}

func (m *model) expire(r *rapid.T) {
	for _, e := range m.queue.Expire(m.now) {
		assert.Equal(r, m.waiting[e.ID()], e)
		delete(m.waiting, e.ID())
		assert.Assert(r, !e.Deadline().IsZero() && !m.now.Before(e.Deadline()))
	}
	for _, w := range m.waiting {
		assert.Assert(r, w.Deadline().IsZero() || m.now.Before(w.Deadline()))
	}
}

// before reports whether Pick must try a before b.
func (m *model) before(a, b queue.Request) bool {
	if x, y := m.aged(a), m.aged(b); x != y {
		return x < y
	}
	if x, y := m.queue.Shares.DominantShare(a.Team()), m.queue.Shares.DominantShare(b.Team()); x != y {
		return x < y
	}
	return a.Arrived().Before(b.Arrived())
}

func (m *model) aged(n queue.Request) int {
	steps := int(m.now.Sub(n.Arrived()) / (10 * time.Minute))
	if n.Class() != queue.ClassArchive {
		return int(n.Class())
	}
	return max(int(queue.ClassArchive)-steps, 0)
}

// pick calls Pick, accepts requests of at most maxSlots slots, and reports whether one was accepted. It checks that
// the requests tried are waiting, in order, at most one for each team, class and shape, and all of these if none is
// accepted.
func (m *model) pick(r *rapid.T, pool string, maxSlots int) bool {
	m.expire(r)
	type subqueue struct {
		team  string
		class queue.Class
		shape provider.Shape
	}
	tried := make(map[subqueue]bool)
	var last *queue.Request
	picked, ok := m.queue.Pick(pool, m.now, func(n queue.Request) bool {
		assert.Equal(r, m.waiting[n.ID()], n)
		assert.Equal(r, n.Pool(), pool)
		k := subqueue{n.Team(), n.Class(), n.Shape()}
		assert.Assert(r, !tried[k])
		tried[k] = true
		assert.Assert(r, last == nil || !m.before(n, *last))
		for _, w := range m.waiting {
			better := w.Pool() == pool && m.before(w, n)
			assert.Assert(r, !better || last != nil, "%v was skipped", w)
		}
		last = &n
		return n.Shape().Slots() <= maxSlots
	})
	if ok {
		assert.Equal(r, picked, *last)
		delete(m.waiting, picked.ID())
		m.queue.Shares.TaskStarted(picked.Team(), picked.Shape())
		return true
	}
	for _, w := range m.waiting {
		assert.Assert(r, w.Pool() != pool || tried[subqueue{w.Team(), w.Class(), w.Shape()}], "%v wasn't tried", w)
	}
	return false
}

// Guards against requests that are lost, or tried twice, out of order, or after they were cancelled or expired, against
// requests queued beyond the bounds, and against an admission that differs from what Push does.
func TestQueueAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{waiting: make(map[string]queue.Request), now: start}
		m.queue.Bound = 8
		m.queue.Shares.DecayTime = -1 // the model ranks by current use
		m.queue.Shares.SetCapacity(slots(40))
		m.queue.Shares.SetTeam("b", 2)
		r.Repeat(map[string]func(*rapid.T){
			"push":    m.push,
			"push 2":  m.push,
			"readmit": m.readmit,
			"expire":  m.expire,
			"pick": func(r *rapid.T) {
				m.pick(r, rapid.SampledFrom([]string{"p", "q"}).Draw(r, "pool"),
					rapid.IntRange(0, 3).Draw(r, "max slots"))
			},
			"cancel": func(r *rapid.T) {
				m.expire(r)
				id := fmt.Sprint(rapid.IntRange(0, m.serial).Draw(r, "id"))
				_, waits := m.waiting[id]
				assert.Equal(r, m.queue.Cancel(id), waits)
				delete(m.waiting, id)
			},
			"pass time": func(r *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(r, "ms")) * time.Millisecond)
			},
			"": func(r *rapid.T) {
				assert.Equal(r, m.queue.Len(), len(m.waiting))
				for _, t := range []string{"a", "b", "c"} {
					assert.Equal(r, m.queue.Backlog(t), m.backlog(t))
				}
			},
		})
		for _, p := range m.queue.Pools() {
			for m.pick(r, p, 3) {
			}
		}
		m.expire(r)
		assert.Equal(r, len(m.waiting), 0)
	})
}

// Guards against requests that fit no server blocking other shapes of their team, however many there are. When Pick
// tried only the first 8 requests, a catalogue entry declared at 10x its size blocked its team in the simulated fleet.
func TestPickSkipsRequestsThatDoNotFit(t *testing.T) {
	var q queue.Queue
	for i := range 100 {
		q.Push(queue.NewRequest(
			fmt.Sprint(i), "p", "e", "a", queue.ClassArchive, slots(8-i/99*7), start, time.Time{},
		), start)
	}
	got, ok := q.Pick("p", start, func(r queue.Request) bool { return r.Shape().Slots() == 1 })
	assert.Assert(t, ok)
	assert.Equal(t, got.ID(), "99")
}

// Guards against refusals at the start of a burst after an idle period, and against admission beyond the bounds at a
// known start rate.
func TestAdmissionUsesStartRateOfBusyTime(t *testing.T) {
	var q queue.Queue
	now, serial := start, 0
	push := func(team string, c queue.Class) queue.PushOutcome {
		serial++
		return q.Push(queue.NewRequest(fmt.Sprint(serial), "p", "e", team, c, slots(1), now, time.Time{}), now)
	}
	all := func(queue.Request) bool { return true }
	for range 60 { // 1 request per second, started at once
		push("a", queue.ClassInteractive)
		q.Pick("p", now, all)
		now = now.Add(time.Second)
	}
	for range 100 { // a burst, started at 10 a second
		assert.Equal(t, push("a", queue.ClassInteractive), queue.PushOutcome(queue.Queued{}))
	}
	for range 50 { // 10 starts per second
		now = now.Add(100 * time.Millisecond)
		q.Pick("p", now, all)
		push("a", queue.ClassArchive)
	}
	admitted := 50
	for ; ; admitted++ {
		if o, ok := push("a", queue.ClassInteractive).(queue.Refused); ok {
			assert.Equal(t, o.Code(), queue.CodeTooBusy)
			break
		}
	}
	assert.Assert(t, admitted > 90 && admitted < 111, "%d requests admitted for a wait of 10 s", admitted)
	assert.Equal(t, push("b", queue.ClassInteractive), queue.PushOutcome(queue.Queued{})) // team b has the lower share
	assert.Equal(t, push("a", queue.ClassUrgent), queue.PushOutcome(queue.Queued{}))
}
