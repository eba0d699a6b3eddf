package fleet_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/workload"
)

// loadResult is the result of a simulated load of bursts.
type loadResult struct {
	jobs, inTime, served int
	serverSeconds        float64
	moves                int
}

func (t loadResult) String() string {
	return fmt.Sprintf("%d of %d jobs within the objective, %d within three objectives, %.0f server-seconds, %d moves",
		t.inTime, t.jobs, t.served, t.serverSeconds, t.moves)
}

const (
	burstLength  = 10 * time.Second
	burstPools   = 4
	burstServers = 350
	waveStart    = 3800 * time.Millisecond
)

// runBursts simulates bell-shaped bursts in one pool after the other. During the burst of a pool its rate of jobs rises
// from a twentieth of the mean to peak jobs a second and falls again.
func runBursts(peak float64, seconds int, wave bool) loadResult {
	sm := newSimulation(burstServers, burstPools+1)
	for n, vm := range sm.vms {
		if vm.pool == fmt.Sprintf("pool-%d", burstPools) {
			vm.pool = sparePool
			sm.takeDown(n, "moving", 0)
		}
	}
	for pool := range burstPools {
		sm.submitLongRunning(2*pool, pool)
		sm.submitLongRunning(2*pool+1, pool)
	}
	sm.advance(10 * time.Second)
	var result loadResult
	objectives := make(map[string]time.Duration)
	const tick = 20 * time.Millisecond
	began, due := sm.now, make([]float64, burstPools)
	for sm.now.Sub(began) < time.Duration(seconds)*time.Second {
		at := sm.now.Sub(began)
		if wave && at >= waveStart {
			sm.maintain(25*time.Second, burstServers/6)
			wave = false
		}
		for pool := range burstPools {
			rate := peak / 100
			if burst := int(at / burstLength); burst%burstPools == pool {
				phase := float64(at%burstLength) / float64(burstLength)
				rate += peak * math.Pow(math.Sin(math.Pi*phase), 2)
			}
			for due[pool] += rate * tick.Seconds(); due[pool] >= 1; due[pool]-- {
				result.jobs++
				id := fmt.Sprintf("%016x", result.jobs)
				objectives[id] = sm.submitRandom(result.jobs, pool)
			}
		}
		sm.advance(tick)
		for _, vm := range sm.vms {
			if vm.pool != sparePool {
				result.serverSeconds += tick.Seconds()
			}
		}
	}
	sm.advance(15 * time.Second)
	for id, objective := range objectives {
		if sm.endedAt[id].IsZero() {
			continue
		}
		took := sm.endedAt[id].Sub(sm.submittedAt[id])
		if took <= objective {
			result.inTime++
		}
		if took <= 3*objective {
			result.served++
		}
	}
	result.moves = sm.moves
	return result
}

// submitRandom submits a job with one to three steps and random numbers of tasks, and returns its objective.
func (sm *simulation) submitRandom(n, pool int) time.Duration {
	var steps []workload.StepOptions
	estimate := int64(700 + sm.random.IntN(500))
	for step := range 1 + min(int(sm.random.ExpFloat64()*0.7), 2) {
		o := workload.StepOptions{
			Count: 2 + int(sm.random.ExpFloat64()*6), MilliCores: int64(2000 + sm.random.IntN(8000)), MemoryMB: 20000,
			DeclaredDurationMS: estimate,
		}
		if step > 0 {
			o.After = []int{step - 1}
		}
		steps = append(steps, o)
	}
	return sm.submitJob(n, pool, "", steps)
}

// Load pattern: the load of one queue after the other rises within a few seconds to more than the capacity of its pool,
// and falls again. Guards against pools that grow too late, and against pools that keep servers without work.
func TestPoolsFollowBursts(t *testing.T) {
	for _, peak := range []float64{80, 120, 150, 180} {
		t.Log(peak, runBursts(peak, 40, true))
	}
	result := runBursts(120, 40, false)
	assert.Assert(t, result.served*100 >= result.jobs*99)
	assert.Assert(t, result.inTime*100 >= result.jobs*90)
}

// Load pattern: the largest burst of a fleet of 1,100 servers, which asks for 5,000 starts a second and has the servers for
// them. Guards against a limit on the number of starts that leaves servers idle while jobs wait.
func TestStartsKeepUpWithLargestBurst(t *testing.T) {
	sm := newSimulation(1100, 1)
	sm.advance(2 * time.Second)
	const jobsPerSecond = 385
	objectives := make(map[string]time.Duration)
	for n := range jobsPerSecond * 9 {
		id := fmt.Sprintf("%016x", n+1)
		sm.submit(n+1, 0)
		if n >= jobsPerSecond*6 { // by then the VMs that were switched off have joined the pool
			objectives[id] = 1600*2*time.Millisecond + 600*time.Millisecond
		}
		sm.advance(time.Second / jobsPerSecond)
	}
	sm.advance(10 * time.Second)
	inTime := 0
	for id, objective := range objectives {
		if at := sm.endedAt[id]; !at.IsZero() && at.Sub(sm.submittedAt[id]) <= objective {
			inTime++
		}
	}
	t.Logf("%d of %d jobs within their objective", inTime, len(objectives))
	assert.Assert(t, inTime*100 >= len(objectives)*90)
}
