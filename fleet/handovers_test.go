package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/fleet"
)

// handOver ends the term of the current controller by a planned stop or a kill, and starts another one at once.
func (m *model) handOver() {
	previous := m.current
	if m.chance(80, "planned stop") {
		m.handle(previous, fleet.Stopping{})
		for range 10 {
			if !previous.dead {
				m.advance(50 * time.Millisecond)
			}
		}
	}
	if !previous.dead { // it was killed, or its start requests get no response
		previous.dead = true
		m.outlastTerm()
	}
	m.takeOver(rapid.SampledFrom([]string{"entry", "entry-1", "entry-2"}).Draw(m.t, "next leader"))
}

// Guards against requests of two entry VMs for a VM shortly after each other, and against VMs that are never maintained, while leaders
// follow one another at short intervals, requests get no response, and the store is slow.
func TestVMPauseHoldsDuringHandoversInSeries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.pause = 3 * time.Second
		m.slowStore = m.chance(slowStorePercent, "slow store")
		m.takeOver("entry")
		m.advance(time.Second)
		m.startWave()
		m.wave.MaxConcurrent = 3
		m.lostResponses = 70
		for range 12 {
			if m.chance(30, "job") {
				m.submit()
			}
			m.advance(m.delay(700))
			m.handOver()
		}
		m.recoverAndCheck(40 * time.Second)
		for name, vm := range m.vms {
			if !vm.maintained {
				m.fail("%s isn't maintained", name)
			}
		}
		if m.violation != "" {
			t.Fatal(m.violation)
		}
	})
}
