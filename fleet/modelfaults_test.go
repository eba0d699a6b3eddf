package fleet_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// injectFault injects one random fault.
func (m *model) injectFault(step int) {
	if m.losses != nil {
		m.losses.inject(m)
		return
	}
	n := rapid.IntRange(0, 3).Draw(m.t, "server")
	s, up := m.servers[m.vms[fmt.Sprintf("m-%d", n)].server]
	if !up {
		s = m.servers[fmt.Sprintf("i-%d", n)] // its VM is being maintained
	}
	fault := rapid.IntRange(0, 6).Draw(m.t, "fault")
	if m.returns {
		fault = rapid.SampledFrom([]int{1, 3, 3, 3}).Draw(m.t, "fault of returns")
	}
	switch m.mutation {
	case ignoreLeases:
		fault = 6 // the fault in which a lease outlasts the term
	case listsCountAsNewer, ignoreLongestLease:
		fault = 3
	case listPartitionedAsDown:
		fault = 2
	case noMutation, serversIgnoreTokens, storeIgnoresTerms, listRemovedAsDown, unlistPartitioned:
	}
	switch fault {
	case 0: // the controller pauses, another takes over after the term, and the first resumes later
		previous := m.current
		previous.paused = true
		m.outlastTerm()
		m.takeOver(fmt.Sprint("entry-", step))
		m.after(m.delay(3000), func() { previous.paused = false })
	case 1: // the controller is killed
		m.current.dead = true
		m.outlastTerm()
		m.takeOver(fmt.Sprint("entry-", step))
	case 2:
		s.partitioned = true
		m.after(m.delay(9000), func() { s.partitioned = false })
	case 3:
		m.crash(s)
		if m.mutation == ignoreLongestLease || m.chance(50, "cut off") { // after its return
			m.after(time.Second+m.delay(2000), func() { s.partitioned = true })
			m.after(3*time.Second+m.delay(9000), func() { s.partitioned = false })
		}
	case 4:
		m.lateRequests = rapid.IntRange(0, 20).Draw(m.t, "late requests")
	case 6: // the controller loses the store, another takes over, and each reaches servers that the other can't
		previous := m.current
		previous.storeUnreachable, s.reachableBy = true, previous
		m.outlastTerm()
		m.takeOver(fmt.Sprint("entry-", step))
		m.after(m.delay(9000), func() { s.reachableBy = nil })
	case 5:
		m.lostResponses = rapid.IntRange(0, 20).Draw(m.t, "lost responses")
	}
}

func (m *model) playFaults() {
	m.takeOver("entry")
	if m.mutation == listPartitionedAsDown {
		m.advance(11 * time.Second) // a list of VMs says nothing about servers that it may be older than
	}
	for step := range 8 {
		for range 3 {
			m.submit()
			m.advance(m.delay(400))
		}
		if step == m.waveStep {
			m.startWave()
		}
		m.injectFault(step)
		m.advance(m.delay(1500))
	}
}

func (m *model) endFaults() {
	m.lateRequests, m.lostResponses, m.slowStore = 0, 0, false
	for _, s := range m.servers {
		s.partitioned, s.reachableBy = false, nil
	}
}

// recoverAndCheck ends all faults, advances the time and checks that all jobs have completed, or failed if they may.
func (m *model) recoverAndCheck(after time.Duration) {
	m.endFaults()
	m.advance(after)
	for _, j := range m.jobs {
		p, err := workload.DecodeProgress(m.rows[fleet.ProgressPrefix+j.ID()])
		ended := p.State == workload.JobCompleted || p.State == workload.JobFailed && m.mayFail(j)
		if j.LongRunning() {
			ended = p.VisibleState() == workload.JobRunning
		}
		if err != nil || !ended {
			m.fail("job %s is %q, stored as %s; servers lost with tasks: %v", j.ID(), p.State,
				m.rows[fleet.ProgressPrefix+j.ID()], m.lostWith)
		}
	}
}

// mayFail reports whether two servers were lost with a task of a job.
func (m *model) mayFail(j *workload.Job) bool {
	for task, lost := range m.lostWith {
		if task.Job == j.ID() && lost >= 2 {
			return true
		}
	}
	return false
}
