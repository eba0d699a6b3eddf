package fleet_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/workload"
)

// turns is what became of the load of bell-shaped turns.
type turns struct {
	jobs, inTime, served int
	serverSeconds        float64
	moves                int
}

func (t turns) String() string {
	return fmt.Sprintf("%d of %d jobs in time, %d within three objectives, %.0f server-seconds, %d moves",
		t.inTime, t.jobs, t.served, t.serverSeconds, t.moves)
}

const (
	turnLength  = 10 * time.Second
	turnPools   = 4
	turnServers = 350
	waveFrom    = 3800 * time.Millisecond
)

// playTurns plays one turn of each pool. The rate of jobs rises from a twentieth of the mean to peak jobs a second and
// falls again within a turn.
func playTurns(peak float64, seconds int, wave bool) turns {
	w := newWorld(turnServers, turnPools+1)
	for n, vm := range w.vms {
		if vm.pool == fmt.Sprintf("pool-%d", turnPools) {
			vm.pool = sparePool
			w.takeDown(n, "moving", 0)
		}
	}
	for pool := range turnPools {
		w.submitLasting(2*pool, pool)
		w.submitLasting(2*pool+1, pool)
	}
	w.pass(10 * time.Second)
	var result turns
	objectives := make(map[string]time.Duration)
	const tick = 20 * time.Millisecond
	began, due := w.now, make([]float64, turnPools)
	for w.now.Sub(began) < time.Duration(seconds)*time.Second {
		at := w.now.Sub(began)
		if wave && at >= waveFrom {
			w.maintain(25*time.Second, turnServers/6)
			wave = false
		}
		for pool := range turnPools {
			rate := peak / 100
			if turn := int(at / turnLength); turn%turnPools == pool {
				phase := float64(at%turnLength) / float64(turnLength)
				rate += peak * math.Pow(math.Sin(math.Pi*phase), 2)
			}
			for due[pool] += rate * tick.Seconds(); due[pool] >= 1; due[pool]-- {
				result.jobs++
				id := fmt.Sprintf("%016x", result.jobs)
				objectives[id] = w.submitDrawn(result.jobs, pool)
			}
		}
		w.pass(tick)
		for _, vm := range w.vms {
			if vm.pool != sparePool {
				result.serverSeconds += tick.Seconds()
			}
		}
	}
	w.pass(15 * time.Second)
	for id, objective := range objectives {
		if w.ends[id].IsZero() {
			continue
		}
		took := w.ends[id].Sub(w.submitted[id])
		if took <= objective {
			result.inTime++
		}
		if took <= 3*objective {
			result.served++
		}
	}
	result.moves = w.moves
	return result
}

// submitDrawn submits a job of one to three steps of some tasks, and returns its objective.
func (w *world) submitDrawn(n, pool int) time.Duration {
	var steps []workload.StepOptions
	estimate := int64(700 + w.random.IntN(500))
	for step := range 1 + min(int(w.random.ExpFloat64()*0.7), 2) {
		o := workload.StepOptions{
			Count: 2 + int(w.random.ExpFloat64()*6), MilliCores: int64(2000 + w.random.IntN(8000)), MemoryMB: 20000,
			EstimateMS: estimate,
		}
		if step > 0 {
			o.After = []int{step - 1}
		}
		steps = append(steps, o)
	}
	return w.submitJob(n, pool, "", steps)
}

// Load pattern: each queue in its turn rises within a few seconds to more than its pool holds, and falls again. Guards
// against pools that follow the rise late, and against pools that keep servers that no longer have work.
func TestPoolsFollowBellShapedTurns(t *testing.T) {
	for _, peak := range []float64{80, 120, 150, 180} {
		t.Log(peak, playTurns(peak, 40, true))
	}
	result := playTurns(120, 40, false)
	assert.Assert(t, result.served*100 >= result.jobs*99)
	assert.Assert(t, result.inTime*100 >= result.jobs*90)
}
