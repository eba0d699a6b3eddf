package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/schedule"
)

// The load of the replays: queues ask by turns for five times their mean, and for a twentieth in between.
const (
	replayTurn    = 4 * time.Second
	replayLength  = 40 * time.Second
	replayTick    = 100 * time.Millisecond
	replayPools   = 4
	replayServers = 10 // of each pool
	replayMove    = 1500 * time.Millisecond
	peakLoad      = 7 // jobs a second and queue: the work of a turn is twice what a pool does in it
)

type replayJob struct {
	schedule.Candidate
	pool int
	left float64 // server-seconds
	ends time.Time
}

// replay serves a drawn load. A job takes at most one server at a time, so its length bounds how fast it ends.
type replay struct {
	order func(waiting []*replayJob, servers float64, now time.Time)
	moves bool
}

type replayResult struct {
	inTime, served, jobs int
	serverSeconds        float64
}

func (r replayResult) String() string {
	return fmt.Sprintf("%d of %d jobs in time, %d served within three objectives, %.0f server-seconds",
		r.inTime, r.jobs, r.served, r.serverSeconds)
}

func drawLoad(seed uint64, mean float64) []*replayJob {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(0, 0)
	var jobs []*replayJob
	for at := time.Duration(0); at < replayLength; at += replayTick {
		turn := int(at/replayTurn) % replayPools
		for pool := range replayPools {
			rate := mean / 20
			if pool == turn {
				rate = mean * 5
			}
			for n := rate * replayTick.Seconds(); n > 0; n-- {
				if n < 1 && random.Float64() > n {
					continue
				}
				length := time.Duration((0.5 + random.ExpFloat64()) * float64(time.Second))
				work := length.Seconds() * (0.2 + 0.8*random.Float64())
				jobs = append(jobs, &replayJob{
					pool: pool, left: work,
					Candidate: schedule.Candidate{
						ID: fmt.Sprintf("%05d", len(jobs)), Submitted: start.Add(at), Remaining: length, Work: work,
						Objective: length*16/10 + 600*time.Millisecond,
					},
				})
			}
		}
	}
	return jobs
}

func (r replay) run(jobs []*replayJob) replayResult {
	start := time.Unix(0, 0)
	servers := make([]float64, replayPools)
	for pool := range servers {
		servers[pool] = replayServers
	}
	type joining struct {
		pool int
		at   time.Time
	}
	var coming []joining
	spare, arriving := replayServers-2, make([]float64, replayPools)
	result := replayResult{jobs: len(jobs)}
	for now := start; now.Before(start.Add(replayLength + 20*time.Second)); now = now.Add(replayTick) {
		coming = slices.DeleteFunc(coming, func(j joining) bool {
			if j.at.After(now) {
				return false
			}
			servers[j.pool]++
			return true
		})
		loads := make([]float64, replayPools)
		for pool := range replayPools {
			arriving[pool] *= 0.82 // a time constant of half a second
			var waiting []*replayJob
			for _, j := range jobs {
				if j.pool != pool || j.Submitted.After(now) || !j.ends.IsZero() {
					continue
				}
				if j.Submitted.Add(replayTick).After(now) {
					arriving[pool] += j.Work * 2
				}
				waiting = append(waiting, j)
				loads[pool] += j.Work / max(j.Remaining.Seconds(), 0.1)
			}
			r.order(waiting, servers[pool], now)
			serve(waiting, servers[pool], now)
			result.serverSeconds += servers[pool] * replayTick.Seconds()
		}
		if !r.moves {
			continue
		}
		pools := []schedule.Pool{{Name: "spare", Spare: true}}
		for n := range spare {
			pools[0].Servers = append(pools[0].Servers, schedule.PoolServer{VM: fmt.Sprint("spare/", n), Idle: true})
		}
		for pool := range replayPools {
			p := schedule.Pool{Name: fmt.Sprint(pool), Load: loads[pool], Arriving: arriving[pool], Departing: min(loads[pool], servers[pool])}
			for _, j := range coming {
				if j.pool == pool {
					p.Joining++
				}
			}
			for n := range int(servers[pool]) {
				p.Servers = append(p.Servers, schedule.PoolServer{
					VM: fmt.Sprint(pool, "/", n), Idle: float64(n) >= loads[pool], IdleFor: 2 * time.Second,
				})
			}
			pools = append(pools, p)
		}
		for _, m := range schedule.PlanMoves(pools) {
			var from int
			if n, _ := fmt.Sscanf(m.VM, "%d/", &from); n == 1 {
				servers[from]--
			} else {
				spare--
			}
			if m.To == "spare" {
				spare++
				continue
			}
			var to int
			_, err := fmt.Sscan(m.To, &to)
			if err != nil {
				panic(err)
			}
			coming = append(coming, joining{pool: to, at: now.Add(replayMove)})
		}
	}
	for _, j := range jobs {
		if j.ends.IsZero() {
			continue
		}
		took := j.ends.Sub(j.Submitted)
		if took <= j.Objective {
			result.inTime++
		}
		if took <= 3*j.Objective {
			result.served++
		}
	}
	return result
}

func serve(waiting []*replayJob, servers float64, now time.Time) {
	for _, j := range waiting {
		rate := min(servers, j.Work/max(j.Remaining.Seconds(), 0.1))
		if rate <= 0 {
			return
		}
		servers -= rate
		done := rate * replayTick.Seconds()
		j.Remaining -= time.Duration(float64(j.Remaining) * min(done/j.Work, 1))
		j.Work -= done
		if j.Work <= 1e-6 {
			j.ends = now.Add(replayTick)
		}
	}
}

func byArrival(waiting []*replayJob, _ float64, _ time.Time) {
	slices.SortFunc(waiting, func(a, b *replayJob) int { return a.Submitted.Compare(b.Submitted) })
}

func byOrder(waiting []*replayJob, servers float64, now time.Time) {
	byID := make(map[string]*replayJob, len(waiting))
	candidates := make([]schedule.Candidate, 0, len(waiting))
	for _, j := range waiting {
		byID[j.ID] = j
		candidates = append(candidates, j.Candidate)
	}
	schedule.Order(candidates, servers, now)
	for i := range candidates {
		waiting[i] = byID[candidates[i].ID]
	}
}

// Guards against an order that lets a burst make all of its jobs late, when some could be in time.
func TestOrderServesMoreOfABurstInTime(t *testing.T) {
	for seed := range uint64(5) {
		baseline := replay{order: byArrival}.run(drawLoad(seed, peakLoad))
		current := replay{order: byOrder}.run(drawLoad(seed, peakLoad))
		t.Logf("seed %d by arrival: %v", seed, baseline)
		t.Logf("seed %d by order:   %v", seed, current)
		assert.Assert(t, current.inTime*10 >= baseline.inTime*11)
		assert.Assert(t, current.served >= baseline.served)
	}
}

// Guards against pools that don't follow their queues' turns.
func TestMovesFollowTheTurns(t *testing.T) {
	for seed := range uint64(5) {
		fixed := replay{order: byOrder}.run(drawLoad(seed, peakLoad))
		moved := replay{order: byOrder, moves: true}.run(drawLoad(seed, peakLoad))
		t.Logf("seed %d fixed pools: %v", seed, fixed)
		t.Logf("seed %d moves:       %v", seed, moved)
		assert.Assert(t, moved.inTime*10 >= fixed.inTime*11)
		assert.Assert(t, moved.serverSeconds <= fixed.serverSeconds)
	}
}
