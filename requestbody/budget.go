// Package requestbody receives the bodies of requests within a budget of bytes, so that the memory of a process is bounded
// whatever its clients announce or send. Memory is allocated as bytes arrive. When the budget is used up, the incomplete body that
// has been in progress for longest is dropped.
package requestbody

import (
	"container/list"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	// DefaultBytes is the size of a budget that isn't given one: four bodies of the default limit of `serve`.
	DefaultBytes = 32 << 20
	// maxDecoding bounds the bodies that are decoded at a time, as a decoded body takes several times its size for a moment.
	maxDecoding = 4
)

// Budget bounds the bytes of the bodies that a process holds. Its exported fields are set before use. The zero value has
// DefaultBytes.
type Budget struct {
	Bytes int64
	// Clock and Scope are for the log line and the metrics. They may be nil.
	Clock timer.Clock
	Scope tally.Scope

	once      sync.Once
	decoding  chan struct{}
	heldBytes tally.Gauge

	mu         sync.Mutex
	changed    *sync.Cond // when bytes are returned
	held       int64      // by all reservations
	leaving    int64      // by those of them that were dropped, and that return them soon
	incomplete *list.List // of *Reservation, the one that has been in progress for longest first

	logged     time.Time // when a refusal was last logged
	unlogged   int       // refusals since then
	everLogged bool
}

func (b *Budget) init() {
	b.once.Do(func() {
		if b.Bytes <= 0 {
			b.Bytes = DefaultBytes
		}
		if b.Clock == nil {
			b.Clock = timer.System{}
		}
		if b.Scope == nil {
			b.Scope = tally.NoopScope
		}
		b.heldBytes = b.Scope.Gauge("held-bytes")
		b.decoding = make(chan struct{}, maxDecoding)
		b.changed = sync.NewCond(&b.mu)
		b.incomplete = list.New()
	})
}

// MaxBodyBytes returns the size of the largest body that fits. While its buffer grows, a body holds up to twice its size, and a byte
// that shows that it exceeds its limit.
func (b *Budget) MaxBodyBytes() int {
	b.init()
	return int((b.Bytes - 1) / 2)
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Decode calls fn, once fewer than maxDecoding others run.
func (b *Budget) Decode(fn func()) {
	b.init()
	b.decoding <- struct{}{}
	defer func() { <-b.decoding }()
	fn()
}

// Reservation is the part of a budget that one body holds. Only drop is called by other goroutines than the one that receives
// the body.
type Reservation struct {
	budget  *Budget
	drop    func()
	element *list.Element // in budget.incomplete, or nil
	bytes   int64
	dropped bool
}

// Reserve returns an empty reservation for a body that begins to arrive. The caller must call Release. If the body is dropped
// before it is complete, drop is called, which must interrupt the caller where it waits for bytes.
func (b *Budget) Reserve(drop func()) *Reservation {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &Reservation{budget: b, drop: drop}
	r.element = b.incomplete.PushBack(r)
	return r
}

// Grow adds n bytes to the reservation. If the budget is used up, it drops the incomplete bodies that have been in progress for
// longest, and waits until their bytes are returned. It returns false if this body is one of them, or if no other is left that
// could be dropped.
func (r *Reservation) Grow(n int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !r.dropped && b.held+n > b.Bytes {
		if b.held-b.leaving+n <= b.Bytes {
			b.changed.Wait()
			continue
		}
		victim := b.oldestIncomplete()
		if victim == nil || victim == r {
			return false
		}
		b.markDropped(victim)
		b.mu.Unlock()
		victim.drop()
		b.mu.Lock()
	}
	if r.dropped {
		return false
	}
	r.bytes += n
	b.change(n)
	return true
}

// oldestIncomplete returns the incomplete body that holds bytes and has been in progress for longest, or nil.
func (b *Budget) oldestIncomplete() *Reservation {
	for e := b.incomplete.Front(); e != nil; e = e.Next() {
		if r, ok := e.Value.(*Reservation); ok && r.bytes > 0 {
			return r
		}
	}
	return nil
}

func (b *Budget) markDropped(r *Reservation) {
	r.dropped = true
	b.leaving += r.bytes
	r.leaveQueue()
	b.changed.Broadcast() // it may wait in Grow
}

func (b *Budget) change(n int64) {
	b.held += n
	b.heldBytes.Update(float64(b.held))
}

// Shrink returns n bytes of the reservation to the budget.
func (r *Reservation) Shrink(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.giveBack(n)
}

func (r *Reservation) giveBack(n int64) {
	r.bytes -= n
	if r.dropped {
		r.budget.leaving -= n
	}
	r.budget.change(-n)
	r.budget.changed.Broadcast()
}

func (r *Reservation) leaveQueue() {
	if r.element != nil {
		r.budget.incomplete.Remove(r.element)
		r.element = nil
	}
}

// Complete tells that the body has arrived, so that it isn't dropped any more. It returns false if it was dropped before.
func (r *Reservation) Complete() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.leaveQueue()
	return !r.dropped
}

// Release returns all bytes to the budget. It may be called again.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.leaveQueue()
	r.giveBack(r.bytes)
}
