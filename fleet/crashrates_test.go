package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/workload"
)

// crashRate says how the servers of a simulation crash whatever runs on them: a share of them every interval, in waves or one
// after the other. They are back after 0.1 s, or after outage.
type crashRate struct {
	share    float64
	interval time.Duration
	waves    bool
	outage   time.Duration
}

const crashRateJobs = 150

// crashRateResult is what the controller makes of the crashes.
type crashRateResult struct {
	givenUp  []string // jobs that were shown as failed, though none of their tasks crashes servers
	missed   []string // jobs with a task that crashes servers which weren't shown as failed
	open     int      // other jobs that haven't ended
	servers  int      // most servers that crashed under a task that crashes servers
	mean     float64  // mean of these numbers
	suspects int      // tasks that crash servers and were started
	starts   int      // most starts of such a task after three servers had crashed under it
}

// play runs jobs for a minute while servers crash, and then for 40 s without these crashes. The first task of each n-th job crashes
// each server that starts it.
func (c crashRate) play(seed uint64, n int) crashRateResult {
	const servers, jobs, interval = 24, crashRateJobs, 400 * time.Millisecond
	sm := newSimulation(servers, 2)
	random := rand.New(rand.NewPCG(seed, 3))
	deadly := func(job string) bool {
		var number int
		if _, err := fmt.Sscanf(job, "%x", &number); err != nil {
			panic(err)
		}
		return n > 0 && number%n == n/2
	}
	sm.crashesServer = func(r backend.Run) bool { return deadly(r.Task.Job) && r.Task.Step == 0 && r.Task.Index == 0 }
	crash := func() {
		names := make([]string, 0, servers)
		for i := range servers {
			names = append(names, fmt.Sprintf("m-%d", i))
		}
		random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		for i, name := range names[:int(c.share*servers)] {
			delay := time.Duration(0)
			if !c.waves {
				delay = time.Duration(i) * c.interval / time.Duration(int(c.share*servers))
			}
			sm.after(delay, func() {
				if id := sm.vms[name].server; sm.servers[id] != nil {
					sm.crash(id, c.outage)
				}
			})
		}
	}
	next := sm.now
	for i := range jobs {
		sm.submit(i, i%2)
		for !next.After(sm.now) && c.share > 0 {
			crash()
			next = next.Add(c.interval)
		}
		sm.advance(interval)
	}
	sm.advance(40 * time.Second)
	var result crashRateResult
	for i := range jobs {
		id := fmt.Sprintf("%016x", i)
		switch state := sm.states[id]; {
		case deadly(id) && state != workload.JobFailed:
			result.missed = append(result.missed, id+" "+fmt.Sprint(state))
		case deadly(id):
			task := workload.TaskID{Job: id}
			result.suspects++
			result.mean += float64(sm.crashes[task])
			result.servers = max(result.servers, sm.crashes[task])
			result.starts = max(result.starts, sm.startsAfter[task])
		case state == workload.JobFailed:
			result.givenUp = append(result.givenUp, id)
		case state != workload.JobCompleted:
			result.open++
		}
	}
	if result.suspects > 0 {
		result.mean /= float64(result.suspects)
	}
	return result
}

// Guards against jobs that are given up because servers crash again and again whatever runs on them, more than one in a thousand,
// and against tasks that crash server after server among such crashes.
func TestCrashesOfServersAreNotTakenForThoseOfTasks(t *testing.T) {
	const short, medium = 100 * time.Millisecond, time.Second
	jobs, givenUp := 0, 0
	for name, c := range map[string]crashRate{
		"no other crashes":                {},
		"one server in 30 s":              {share: 0.05, interval: 30 * time.Second, outage: medium},
		"one server in 5 s":               {share: 0.05, interval: 5 * time.Second, outage: medium},
		"one server a second":             {share: 0.05, interval: time.Second, outage: medium},
		"a tenth every 1.5 s, in waves":   {share: 0.1, interval: 1500 * time.Millisecond, waves: true, outage: short},
		"a third every 1.5 s, in waves":   {share: 0.34, interval: 1500 * time.Millisecond, waves: true, outage: short},
		"a third every 1.5 s, each alone": {share: 0.34, interval: 1500 * time.Millisecond, outage: short},
		"a third every 5 s, in waves":     {share: 0.34, interval: 5 * time.Second, waves: true, outage: medium},
		"half every 5 s, in waves":        {share: 0.5, interval: 5 * time.Second, waves: true, outage: 3 * medium},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				for _, n := range []int{0, 50, 10} {
					result := c.play(seed, n)
					t.Logf("seed %d, a crashing job in %d: given up %d, missed %d %v, open %d, servers at most %d, mean %.2f (%d)", seed, n,
						len(result.givenUp), len(result.missed), result.missed, result.open, result.servers, result.mean, result.suspects)
					assert.Equal(t, len(result.missed), 0, "seed %d, a crashing job in %d: missed %v", seed, n, result.missed)
					assert.Assert(t, result.starts < 3, "seed %d, a crashing job in %d: started %d times after three crashes", seed, n, result.starts)
					jobs += crashRateJobs - result.suspects
					givenUp += len(result.givenUp)
				}
			}
		})
	}
	assert.Assert(t, 1000*givenUp <= jobs, "%d of %d jobs were given up", givenUp, jobs)
}
