package standin_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/standin"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Guards against a list in which changes appear before the lag has passed, out of order, or never.
func TestVMsLag(t *testing.T) {
	ctx := context.Background()
	manual := timer.NewManual(time.Unix(1000, 0))
	vm := func(id string) provider.VM {
		return provider.NewVM(id, provider.RoleEntryVM, "a", "r", "", provider.Shape{}, false)
	}
	p := standin.NewPlatform([]provider.VM{vm("2"), vm("1")}, manual)
	p.VMs.Lag = 5 * time.Second
	shown := func() string {
		s := ""
		for _, v := range p.VMs.List(ctx).(provider.VMs).VMs() {
			s += v.ID()
			if v.Leaving() {
				s += "-"
			}
		}
		return s
	}

	assert.Equal(t, shown(), "12")
	assert.Assert(t, p.VMs.SetLeaving("1", true))
	assert.Assert(t, !p.VMs.SetLeaving("3", true))
	manual.Advance(4 * time.Second)
	assert.Assert(t, p.StopVM("1"))
	p.VMs.Set(vm("3"))
	assert.Equal(t, shown(), "12")
	manual.Advance(time.Second)
	assert.Equal(t, shown(), "1-2")
	manual.Advance(4 * time.Second)
	assert.Equal(t, shown(), "23")
	assert.Equal(t, len(p.VMs.Actual()), 2)
}

// Guards against an object store that shares memory with its callers, or that doesn't store the object if the reply of
// the put is lost.
func TestObjectsWithFaults(t *testing.T) {
	ctx := context.Background()
	s := &standin.Objects{Clock: timer.NewManual(time.Unix(1000, 0))}
	data := []byte("whole")

	s.Faults.SetDown(standin.NewNext(1))
	_, ok := s.Put(ctx, "o", data).(provider.Unavailable)
	assert.Assert(t, ok)
	_, ok = s.Get(ctx, "o").(provider.ObjectNotFound)
	assert.Assert(t, ok)

	s.Faults.SetLoseReplies(standin.NewNext(2))
	_, ok = s.Put(ctx, "o", data).(provider.OutcomeUnknown)
	assert.Assert(t, ok)
	_, ok = s.Get(ctx, "o").(provider.Unavailable)
	assert.Assert(t, ok)
	data[0] = 'x'
	assert.Equal(t, string(s.Get(ctx, "o").(provider.Object).Data()), "whole")
	assert.Equal(t, s.Puts("o"), 1)
}

// Guards against random faults that differ between runs with one seed, or that ignore their probability.
func TestRandomTriggerIsDeterministic(t *testing.T) {
	ctx := context.Background()
	// hits returns a digit for each of 1,000 operations, 1 if the fault affected it.
	hits := func(seed uint64) string {
		l := &standin.VMs{Clock: timer.NewManual(time.Unix(1000, 0))}
		l.Faults.SetDown(standin.NewRandom(0.25, seed))
		s := make([]byte, 1000)
		for i := range s {
			s[i] = '0'
			if _, ok := l.List(ctx).(provider.Unavailable); ok {
				s[i] = '1'
			}
		}
		return string(s)
	}

	first := hits(7)
	assert.Equal(t, first, hits(7))
	assert.Assert(t, first != hits(8))
	count := 0
	for _, c := range first {
		count += int(c - '0')
	}
	assert.Assert(t, count > 190 && count < 310, "%d hits of 1000", count)
}
