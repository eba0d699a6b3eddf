package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// newPool returns a placer with one pool of n idle servers, 4 to a rack.
func newPool(n int) *placement.Placer {
	c := &placement.Placer{}
	for i := range n {
		c.SetServer(placement.NewServer(
			fmt.Sprint("s", i), "z", fmt.Sprint("r", i/4), "p", provider.NewShape(8, 8, 0, 8), true,
		))
	}
	return c
}

// Guards against a faulty catalogue entry taking healthy servers out of rotation, and against servers that fail every
// task staying in rotation.
func TestFailingServersLeaveRotation(t *testing.T) {
	for _, c := range []struct {
		name    string
		failing int  // number of servers that fail every task
		faulty  bool // entry "e" fails on every server
		only    bool // only the failing servers run tasks, all of entry "e"
		want    int
	}{
		{"healthy", 0, false, false, 0},
		{"faulty entry", 0, true, false, 0},
		{"faulty entry on few servers", 2, true, true, 0},
		{"failing server", 1, false, false, 1},
		{"failing server and faulty entry", 1, true, false, 1},
		{"more failing servers than may be out of rotation", 5, false, false, 3},
	} {
		placer := newPool(12)
		for i := range 20 * 12 {
			s := i % 12
			if c.only && s >= c.failing {
				continue
			}
			entry := []string{"e", "f"}[i/12%2]
			if c.only {
				entry = "e"
			}
			ok := s >= c.failing && (!c.faulty || entry != "e")
			placer.RecordResult(fmt.Sprint("s", s), entry, ok, start)
		}
		assert.Equal(t, len(placer.OutOfRotation("p")), c.want, c.name)
	}
}

// Guards against a repaired server staying out of rotation, and against more than one probe in 10 s.
func TestSuccessfulProbePutsServerBackIntoRotation(t *testing.T) {
	c := newPool(8)
	for i := range 20 * 8 {
		c.RecordResult(fmt.Sprint("s", i%8), "e", i%8 != 3, start)
	}
	assert.DeepEqual(t, c.OutOfRotation("p"), []string{"s3"})
	choose := func(class queue.Class, after time.Duration) string {
		server, _ := c.SelectServer("p", "e", provider.NewShape(1, 1, 0, 1), class, start.Add(after))
		return server
	}
	assert.Assert(t, choose(queue.ClassArchive, 9*time.Second) != "s3")
	assert.Assert(t, choose(queue.ClassUrgent, 10*time.Second) != "s3")
	assert.Equal(t, choose(queue.ClassArchive, 10*time.Second), "s3")
	assert.Assert(t, choose(queue.ClassArchive, 19*time.Second) != "s3")
	c.RecordResult("s3", "e", false, start.Add(19*time.Second))
	assert.Equal(t, choose(queue.ClassArchive, 20*time.Second), "s3")
	c.RecordResult("s3", "e", true, start.Add(21*time.Second))
	assert.Equal(t, len(c.OutOfRotation("p")), 0)
}

// Guards against a large shape that starves because smaller tasks take every slot that becomes free, and against a
// server that stays held after the shape is no longer requested.
func TestServerIsHeldForStarvedShape(t *testing.T) {
	for _, c := range []struct {
		name  string
		until time.Duration // how long the large shape is requested
		fits  bool          // the large shape is placed in the end
	}{
		{"until it fits", time.Hour, true},
		{"request withdrawn", 2100 * time.Millisecond, false},
	} {
		placer, tasks, placed, held := newPool(2), map[int]string{}, false, false
		large, small := provider.NewShape(8, 1, 0, 1), provider.NewShape(1, 1, 0, 1)
		for i := -15; i < 200 && !placed; i++ { // 15 tasks fill the pool, then one ends every 100 ms
			now := start.Add(time.Duration(max(i, 0)) * 100 * time.Millisecond)
			if i >= 0 {
				placer.Release(tasks[i-15], fmt.Sprint(i-15))
			}
			if i >= 0 && now.Sub(start) < c.until {
				server, _ := placer.SelectServer("p", "large", large, queue.ClassInteractive, now)
				placed = server != ""
			}
			held = held || len(placer.HeldServers("p")) > 0
			if server, _ := placer.SelectServer("p", "small", small, queue.ClassInteractive, now); server != "" {
				placer.Reserve(server, fmt.Sprint(i), small)
				tasks[i] = server
			}
		}
		assert.Assert(t, held, c.name)
		assert.Equal(t, placed, c.fits, c.name)
		assert.Equal(t, len(placer.HeldServers("p")), 0, c.name)
	}
}

// Guards against estimates that keep following a declared value that is off by 10x, or that don't follow a change of
// the observed values.
func TestEstimatorFollowsReportedValues(t *testing.T) {
	var e placement.Estimator
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, e.Quantile("e", 0.5, 30), 30.0)
	now := start
	for _, median := range []float64{3, 0.3, 12} {
		for range 400 {
			now = now.Add(10 * time.Second)
			e.Observe("e", median*math.Exp(random.NormFloat64()/2), now)
		}
		for q, factor := range map[float64]float64{0.5: 1, 0.9: math.Exp(1.2816 / 2)} {
			got, want := e.Quantile("e", q, 30), median*factor
			assert.Assert(t, got > want/1.5 && got < want*1.5, "quantile %v is %v, want about %v", q, got, want)
		}
	}
	assert.Assert(t, e.EndsWithin("e", 0, time.Minute, time.Hour))
	assert.Assert(t, !e.EndsWithin("e", 0, 5*time.Second, time.Second))
	assert.Assert(t, e.Remaining("e", 0, 0.5, 0) > e.Remaining("e", 10*time.Second, 0.5, 0))
}
