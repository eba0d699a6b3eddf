package maintenance

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// Phase is how far a VM has come in a roll-out.
type Phase int

// Phases in the order that a VM goes through them.
const (
	// Pending says that the roll-out hasn't come to the VM.
	Pending Phase = iota
	// Announced says that the VM is of the next wave. It works as before, but tasks aren't moved to it.
	Announced
	// Draining says that the VM is out and its tasks end or are moved.
	Draining
	// Rebooting says that the VM is out, empty, and is or will be rebooted.
	Rebooting
	// Back says that the VM was maintained.
	Back
)

var phaseNames = [...]string{"pending", "announced", "draining", "rebooting", "back"}

// String returns the name of the phase, which the reason of a row contains.
func (p Phase) String() string { return phaseNames[p] }

// Progress is what the row of a VM says of a roll-out.
type Progress struct {
	rollout string
	phase   Phase
	wave    int
}

// NewProgress returns a progress. The wave counts from 0 in each pool and has no meaning before Draining.
func NewProgress(rollout string, phase Phase, wave int) Progress {
	return Progress{rollout: rollout, phase: phase, wave: wave}
}

// ProgressOf reads the progress from the row of a VM. It is Pending if the row isn't of this roll-out, so that a VM
// that operators took out is maintained after they brought it back.
func ProgressOf(rollout string, s catalogue.VMState) Progress {
	pending := Progress{rollout: rollout}
	f := progressFields(s)
	if f == nil || f[1] != rollout {
		return pending
	}
	wave, err := strconv.Atoi(f[4])
	if err != nil || wave < 0 {
		return pending
	}
	for p := Announced; p <= Back; p++ {
		if f[2] == p.String() && s.Out() == p.out() {
			return Progress{rollout: rollout, phase: p, wave: wave}
		}
	}
	return pending
}

// Phase returns the phase.
func (p Progress) Phase() Phase { return p.phase }

// Wave returns the number of the wave within the pool, from 0.
func (p Progress) Wave() int { return p.wave }

// Out reports whether the row of a VM in this phase says that it is out.
func (p Progress) Out() bool { return p.phase.out() }

// Reason returns the reason for the row.
func (p Progress) Reason() string {
	return fmt.Sprintf("%s%s %s wave %d", progressMark, p.rollout, p.phase, p.wave)
}

func (p Phase) out() bool { return p == Draining || p == Rebooting }

// backOf returns the roll-out that a VM is back from.
func backOf(s catalogue.VMState) (rollout string, ok bool) {
	f := progressFields(s)
	if f == nil || f[2] != Back.String() {
		return "", false
	}
	return f[1], true
}

// progressFields returns the five words of the progress in a reason, nil if there is none.
func progressFields(s catalogue.VMState) []string {
	i := strings.Index(s.Reason(), progressMark)
	if i < 0 {
		return nil
	}
	f := strings.Fields(s.Reason()[i:])
	if len(f) != 5 || f[3] != "wave" {
		return nil
	}
	return f
}
