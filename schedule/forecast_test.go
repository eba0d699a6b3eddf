package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/schedule"
)

// equalJobs returns jobs that were submitted just now, each with 2 s of path and the given work. Their objective is 4 s, their hard
// deadline 12 s.
func equalJobs(count int, work float64, now time.Time) []schedule.Candidate {
	var jobs []schedule.Candidate
	for n := range count {
		jobs = append(jobs, schedule.Candidate{
			ID: fmt.Sprint(n), Submitted: now, Objective: 4 * time.Second, Remaining: 2 * time.Second, Work: work,
		})
	}
	return jobs
}

// Guards against a forecast that isn't the least wait: by jobs that can't be in time any more, without the capacity of other pools,
// or by work that the other pools have done by then.
func TestForecastWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	expired := equalJobs(100, 10, now.Add(-time.Minute))
	onTime := func(work float64) []schedule.Candidate { return equalJobs(10, work/10, now) }
	for name, c := range map[string]struct {
		pools []schedule.Backlog
		want  time.Duration // 0: no forecast
	}{
		"no work":        {[]schedule.Backlog{{Pool: "a", Capacity: 10}}, 0},
		"no capacity":    {[]schedule.Backlog{{Pool: "a", Jobs: equalJobs(100, 10, now)}}, 0},
		"can be in time": {[]schedule.Backlog{{Pool: "a", Capacity: 10, Jobs: equalJobs(4, 10, now)}}, 0},
		"expired":        {[]schedule.Backlog{{Pool: "a", Capacity: 10, Jobs: expired}}, 0},
		"too much":       {[]schedule.Backlog{{Pool: "a", Capacity: 10, Jobs: equalJobs(100, 10, now)}}, 12 * time.Second},
		"idle pools": {
			[]schedule.Backlog{{Pool: "a", Capacity: 10, Jobs: equalJobs(100, 10, now)}, {Pool: "b", Capacity: 90}}, 0,
		},
		"pools busy for 1s": {
			[]schedule.Backlog{{Pool: "a", Capacity: 10, Jobs: equalJobs(100, 10, now)}, {Pool: "b", Capacity: 90, Jobs: onTime(90)}},
			11 * time.Second,
		},
		"pools busy for 3s": {
			[]schedule.Backlog{{Pool: "a", Capacity: 10, Jobs: equalJobs(200, 10, now)}, {Pool: "b", Capacity: 90, Jobs: onTime(270)}},
			12 * time.Second,
		},
	} {
		longest := time.Duration(0)
		for _, f := range schedule.ForecastWaits(c.pools, now) {
			assert.Equal(t, f.Pool, "a", name)
			longest = f.LongestWait()
		}
		assert.Assert(t, longest <= c.want && longest >= c.want-500*time.Millisecond, "%s: found a wait of %s, want %s", name, longest, c.want)
	}
}

// Guards against a forecast that holds for jobs that would go before those that wait: small and urgent ones.
func TestForecastHoldsForLargeJobsOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	jobs := equalJobs(100, 10, now)
	for i := range jobs {
		jobs[i].Priority = 2
	}
	forecasts := schedule.ForecastWaits([]schedule.Backlog{{Pool: "a", Capacity: 10, Jobs: jobs}}, now)
	assert.Equal(t, len(forecasts), 1)
	f := forecasts[0]
	assert.Equal(t, f.Priority, 2)
	for _, s := range append(f.OnTime, f.Late...) {
		assert.Assert(t, s.Work >= 5 && s.Wait > s.LatestStart, "%v", s)
	}
	assert.Equal(t, len(f.OnTime)+len(f.Late), 2, "all jobs ahead are alike")
	// The jobs that are ahead must start within 2 s to meet their objective, and within 10 s to meet their hard deadline.
	assert.Equal(t, f.OnTime[0].LatestStart, 2*time.Second)
	assert.Equal(t, f.Late[0].LatestStart, 10*time.Second)
}

// Load pattern: the pending jobs of a burst. Guards against a forecast that takes the processor time that scheduling needs.
func BenchmarkForecastWaits(b *testing.B) {
	now := time.Unix(1000, 0)
	pools := []schedule.Backlog{{Pool: "a", Capacity: 100, Jobs: equalJobs(4000, 1, now)}}
	for n := range 5 {
		pools = append(pools, schedule.Backlog{Pool: fmt.Sprint("other-", n), Capacity: 10, Jobs: equalJobs(10, 1, now)})
	}
	for b.Loop() {
		schedule.ForecastWaits(pools, now)
	}
}
