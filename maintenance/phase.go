package maintenance

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// Phase is the state of a VM within a roll-out.
type Phase int

// Phases in the order in which a VM goes through them. Their stored names are in phaseNames.
const (
	// Pending means that the VM hasn't been assigned to a wave.
	Pending Phase = iota
	// Announced means that the VM has been assigned to a wave and will be taken out with it. It is in service, but no
	// tasks are moved to it.
	Announced
	// Draining means that the VM is out of service and its tasks are ending or being moved.
	Draining
	// Rebooting means that the VM is out of service without tasks, and that its reboot is due or in progress.
	Rebooting
	// Completed means that the VM was maintained and is in service again.
	Completed
)

var phaseNames = [...]string{"pending", "announced", "draining", "rebooting", "back"}

// String returns the stored name of the phase, as it appears in the reason of a row.
func (p Phase) String() string { return phaseNames[p] }

// Progress is the state of one VM in one roll-out, as recorded in the reason of the VM's row.
type Progress struct {
	rollout string
	phase   Phase
	wave    int
}

// NewProgress returns a progress. The wave is counted from 0 in each pool and has no meaning for Pending.
func NewProgress(rollout string, phase Phase, wave int) Progress {
	return Progress{rollout: rollout, phase: phase, wave: wave}
}

// ProgressOf parses the progress from the row of a VM. It is Pending if the row holds no progress of this roll-out.
// This includes a VM that operators took out: it is maintained once they have brought it back in service.
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
	for p := Announced; p <= Completed; p++ {
		if f[2] == p.String() && s.OutOfService() == p.out() {
			return Progress{rollout: rollout, phase: p, wave: wave}
		}
	}
	return pending
}

// Phase returns the phase.
func (p Progress) Phase() Phase { return p.phase }

// Wave returns the number of the wave within the pool, from 0.
func (p Progress) Wave() int { return p.wave }

// OutOfService reports whether a VM in this phase is out of service according to its row.
func (p Progress) OutOfService() bool { return p.phase.out() }

// Reason returns the text that is stored as the reason of the row: "maintenance <rollout> <phase> wave <number>".
func (p Progress) Reason() string {
	return fmt.Sprintf("%s%s %s wave %d", progressPrefix, p.rollout, p.phase, p.wave)
}

func (p Phase) out() bool { return p == Draining || p == Rebooting }

// completedRollout returns the name of the roll-out that has maintained a VM, according to its row.
func completedRollout(s catalogue.VMState) (rollout string, ok bool) {
	f := progressFields(s)
	if f == nil || f[2] != Completed.String() {
		return "", false
	}
	return f[1], true
}

// progressFields returns the five words of the progress in the reason of a row, nil if there is none.
func progressFields(s catalogue.VMState) []string {
	i := strings.Index(s.Reason(), progressPrefix)
	if i < 0 {
		return nil
	}
	f := strings.Fields(s.Reason()[i:])
	if len(f) != 5 || f[3] != "wave" {
		return nil
	}
	return f
}
