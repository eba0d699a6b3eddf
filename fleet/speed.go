package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// minSpeedWindow is the shortest time in which the progress of a run is measured, as an end may be reported up to minPollInterval
	// late: with shorter runs a sound server was found to be slow in 1 of 12 plays. minSpeedPercent is the progress that is
	// expected in it, as servers report whole percents.
	minSpeedWindow  = 250 * time.Millisecond
	minSpeedPercent = 4
	// speedRounding is the progress that a report leaves out on average.
	speedRounding = 0.5
	// maxServerSamples bounds the samples of a server, one for each of its latest runs.
	maxServerSamples = 8
	// maxStepSamples bounds the servers with which a run of a step is compared, and maxStepSampleAge the age of their samples.
	maxStepSamples   = 16
	maxStepSampleAge = 10 * time.Second
	// queueSampleCount is the number of the latest steps of a queue that count, whose median is computed again after queueMedianInterval.
	queueSampleCount    = 64
	queueMedianInterval = 100 * time.Millisecond
)

// progressMark is the progress of a run at a time by its server's clock, from which its speed is measured.
type progressMark struct {
	set     bool
	clock   time.Duration
	percent int
}

// speedSample is the speed of a run on a server at the given time.
type speedSample struct {
	schedule.SpeedSample
	run backend.Run
	at  time.Time
}

// serverSpeed is the speed of a server by its latest samples.
type serverSpeed struct {
	samples []speedSample
	value   float64 // schedule.NormalSpeed unless it is slow
}

func (v *server) slow() bool { return schedule.IsSlow(v.speed.value) }

// stepSpeed is the speed of the latest run of a step on a server.
type stepSpeed struct {
	server *server
	speed  float64
	at     time.Time
}

// queueSpeed holds the speeds of runs of the latest steps of a queue, one for each step: all tasks of a step are off by the same factor
// if its duration is declared wrongly.
type queueSpeed struct {
	speeds   []float64
	next     int // index of the oldest one
	median   float64
	medianAt time.Time
}

func (q *queueSpeed) add(speed float64, now time.Time) {
	if len(q.speeds) < queueSampleCount {
		q.speeds = append(q.speeds, speed)
	} else {
		q.speeds[q.next] = speed
		q.next = (q.next + 1) % queueSampleCount
	}
	if now.Sub(q.medianAt) >= queueMedianInterval {
		q.median, q.medianAt = schedule.Median(append([]float64(nil), q.speeds...)), now
	}
}

// addSpeed records the speed of a run on a server, in place of an earlier one or of the oldest.
func (st *step) addSpeed(v *server, speed float64, now time.Time) {
	one := stepSpeed{server: v, speed: speed, at: now}
	oldest := 0
	for i := range st.speeds {
		if st.speeds[i].server == v {
			st.speeds[i] = one
			return
		}
		if st.speeds[i].at.Before(st.speeds[oldest].at) {
			oldest = i
		}
	}
	if len(st.speeds) < maxStepSamples {
		st.speeds = append(st.speeds, one)
		return
	}
	st.speeds[oldest] = one
}

// speedsElsewhere returns the speeds of the latest runs of the step on other servers.
func (st *step) speedsElsewhere(v *server, now time.Time) []float64 {
	var speeds []float64
	for _, one := range st.speeds {
		if one.server != v && now.Sub(one.at) <= maxStepSampleAge {
			speeds = append(speeds, one.speed)
		}
	}
	return speeds
}

// markProgress sets from where the speed of a run is measured.
func (a *attempt) markProgress(clock time.Duration, percent int) {
	a.mark = progressMark{set: true, clock: clock, percent: percent}
}

// showsSpeed reports whether the progress of a run shows the speed of its server. Best-effort tasks are slowed down on purpose, the
// tasks of a gang wait for each other, and racks matter to some.
func (a *attempt) showsSpeed() bool {
	spec, rack := a.task.step.spec, a.task.step.spec.DataRack()
	return !spec.LongRunning() && !spec.BestEffort() && !spec.Gang() && !spec.SameRack() && (rack == "" || rack == a.server.reg.Rack)
}

// measureSpeed measures the progress of a run since its last mark, from a report of its server. A run that is done has 100 percent.
func (s *State) measureSpeed(a *attempt, percent int, now time.Time) {
	if s.DisableServerSpeed || a.stopRequested || !a.showsSpeed() {
		return
	}
	v := a.server
	window, progress := v.clock-a.mark.clock, percent-a.mark.percent
	if !a.mark.set || progress < 0 || window < 0 {
		a.markProgress(v.clock, percent)
		return
	}
	declared := a.task.step.spec.DeclaredDuration()
	if window < minSpeedWindow || window < declared*minSpeedPercent/100 && percent < 100 {
		return
	}
	a.markProgress(v.clock, percent)
	perSecond := (float64(progress) + speedRounding) / 100 / window.Seconds()
	s.addSpeed(a, perSecond, declared, now)
}

// addSpeed records the speed of a run, in tasks per second, relative to that of others.
func (s *State) addSpeed(a *attempt, perSecond float64, declared time.Duration, now time.Time) {
	v, st, queue := a.server, a.task.step, a.task.job.spec.Queue()
	elsewhere := st.speedsElsewhere(v, now)
	if len(st.tasks) > 1 {
		st.addSpeed(v, perSecond, now)
	}
	var median float64
	var count int
	speed := perSecond
	if declared > 0 {
		speed *= declared.Seconds()
		for i := range elsewhere {
			elsewhere[i] *= declared.Seconds()
		}
		q := s.queueSpeeds[queue]
		if q == nil {
			q = &queueSpeed{}
			s.queueSpeeds[queue] = q
		}
		median, count = q.median, len(q.speeds)
		if !st.sampled {
			st.sampled = true
			q.add(speed, now)
		}
	}
	relative, sameStep, known := schedule.RelativeSpeed(speed, elsewhere, median, count)
	if !known {
		return
	}
	v.addSample(speedSample{
		SpeedSample: schedule.SpeedSample{Step: st, Speed: relative, SameStep: sameStep}, run: a.id(), at: now,
	})
	s.updateSpeed(v, now)
	s.noteStraggler(a, perSecond, relative, sameStep)
}

// addSample records the speed of a run, in place of its earlier one or of the oldest of the server.
func (v *server) addSample(sample speedSample) {
	samples := v.speed.samples
	replaced := 0
	for i := range samples {
		if samples[i].run == sample.run {
			samples[i] = sample
			return
		}
		if samples[i].at.Before(samples[replaced].at) {
			replaced = i
		}
	}
	if len(samples) < maxServerSamples {
		v.speed.samples = append(samples, sample)
		return
	}
	samples[replaced] = sample
}

// updateSpeed computes the speed of a server from its samples that still count.
func (s *State) updateSpeed(v *server, now time.Time) {
	valid := make([]schedule.SpeedSample, 0, maxServerSamples)
	kept := v.speed.samples[:0]
	for _, one := range v.speed.samples {
		if now.Sub(one.at) < schedule.SpeedSampleLife {
			kept, valid = append(kept, one), append(valid, one.SpeedSample)
		}
	}
	clear(v.speed.samples[len(kept):])
	v.speed.samples = kept
	s.setSpeed(v, schedule.ServerSpeed(valid))
}

func (s *State) setSpeed(v *server, speed float64) {
	wasSlow := v.slow()
	v.speed.value = speed
	if v.slow() == wasSlow {
		return
	}
	if wasSlow {
		delete(s.slowServers, v)
		s.dirtyPools[v.reg.Pool] = true
	} else {
		s.slowServers[v] = true
	}
	if !wasSlow {
		s.counters.slowdowns.Inc(1)
	}
	klog.InfoS("Speed of a backend server changed", "server", v.id, "pool", v.reg.Pool, "slow", v.slow(), "speed", speed,
		"samples", len(v.speed.samples), "running", len(v.attempts), "slow-servers", len(s.slowServers))
}

// forgetSpeed makes a server count as normal that has started again or is gone.
func (s *State) forgetSpeed(v *server) {
	v.speed.samples = nil
	s.setSpeed(v, schedule.NormalSpeed)
}

// expireSpeeds lets slow servers count as normal whose runs haven't shown slow progress lately.
func (s *State) expireSpeeds(now time.Time) {
	for v := range s.slowServers {
		s.updateSpeed(v, now)
	}
	s.counters.slowServers.Update(float64(len(s.slowServers)))
}

// awaitsNormalServer reports whether the tasks of a step wait for a server of normal speed instead of starting on a slow one.
func (s *State) awaitsNormalServer(st *step, p *placementPool, speed float64, now time.Time) bool {
	j := st.tasks[0].job
	if st.spec.LongRunning() || j.spec.Scheduled() {
		return false
	}
	path := j.remaining(s.serverCapacity(s.poolOf(j))).path
	return !schedule.SuitsSlowServer(j.submitted, j.objective, path, st.spec.DeclaredDuration(), speed, now) &&
		schedule.HasNormalServer(st.spec, p.views)
}

// onlySlow are tasks that fit on slow servers only: what they reserve, and the speed of the best one of these servers.
type onlySlow struct {
	reserves workload.Resources
	speed    float64
}

// noteOnlySlow records that tasks that need as much as the given one fit on slow servers only. Runs that are placed later in the pass
// take capacity and don't release any.
func (p *placementPool) noteOnlySlow(t *task, speed float64, anyServer bool) {
	if anyServer && !t.step.spec.Constrained() && len(t.failedOn) == 0 {
		p.onlySlow = append(p.onlySlow, onlySlow{reserves: t.step.spec.Reserves(), speed: speed})
	}
}

// awaitsAsOthers reports whether it is already known in this pass that the tasks of a step wait for a server of normal speed, so that
// the servers needn't be compared again.
func (s *State) awaitsAsOthers(st *step, p *placementPool, now time.Time) bool {
	for _, o := range p.onlySlow {
		if o.reserves.FitsIn(st.spec.Reserves()) {
			return s.awaitsNormalServer(st, p, o.speed, now)
		}
	}
	return false
}
