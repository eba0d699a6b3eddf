package fleet

import (
	"encoding/json"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/provider"
)

const (
	listInterval  = 500 * time.Millisecond // between two readings of the list of VMs while a wave runs
	drainAhead    = 2                      // VMs that are emptied ahead, as a multiple of those that may be down at once
	drainPatience = 2500 * time.Millisecond
	orderRetry    = 500 * time.Millisecond
)

// wave is maintenance that operators asked for.
type wave struct {
	spec     directory.Wave
	begun    map[string]time.Time // when the order was accepted
	ordered  map[string]time.Time // orders without an outcome, or that have to be repeated
	inFlight map[string]bool
	emptying map[string]time.Time // since when a VM takes no more work
	complete bool
	changed  bool
	told     waveStatus // what operators were told last
	telling  bool
	dropped  map[string]bool // VMs that don't exist any more, or aren't of the wave
}

// waveStatus is what operators are told of a wave.
type waveStatus uint8

const (
	waveUntold waveStatus = iota
	waveRunning
	waveComplete
)

// storedWave is what is stored of a wave.
type storedWave struct {
	Begun    []string `json:"begun,omitempty"`
	Complete bool     `json:"complete,omitempty"`
}

func newWave(spec directory.Wave) *wave {
	return &wave{
		spec: spec, begun: make(map[string]time.Time), ordered: make(map[string]time.Time),
		inFlight: make(map[string]bool), emptying: make(map[string]time.Time), dropped: make(map[string]bool),
	}
}

func (s *State) addWave(spec directory.Wave, _ time.Time) {
	w, known := s.waves[spec.Name]
	if !known {
		w = newWave(spec)
		s.waves[spec.Name] = w
		w.changed = true
	}
	w.spec = spec
}

// restoreWaves takes in the stored rows of waves. Their specifications come from the operators' table.
func (s *State) restoreWaves(rows []provider.Row) {
	for _, row := range rows {
		name := row.Key()[len(WavesPrefix):]
		var stored storedWave
		if err := json.Unmarshal(row.Value(), &stored); err != nil {
			klog.ErrorS(err, "Stored wave can't be read", "wave", name)
			continue
		}
		w := newWave(directory.Wave{Name: name})
		w.complete = stored.Complete
		for _, vm := range stored.Begun {
			w.begun[vm] = s.began
		}
		s.waves[name] = w
	}
}

func (s *State) waveWrites(c *commit) []provider.Write {
	var writes []provider.Write
	for _, w := range s.waves {
		if !w.changed {
			continue
		}
		w.changed = false
		c.waves = append(c.waves, w)
		stored := storedWave{Complete: w.complete}
		for vm := range w.begun {
			stored.Begun = append(stored.Begun, vm)
		}
		sort.Strings(stored.Begun)
		data, err := json.Marshal(stored)
		if err != nil {
			panic(err) // strings
		}
		writes = append(writes, provider.NewPut(WavesPrefix+w.spec.Name, data))
	}
	return writes
}

// tellWaves tells operators how far waves are. A wave is told to be complete only after that is stored.
func (s *State) tellWaves() {
	for _, w := range s.waves {
		status := waveRunning
		if w.complete && !w.changed {
			status = waveComplete
		}
		if w.telling || w.told >= status || len(w.spec.VMs) == 0 || s.commit != nil {
			continue
		}
		w.telling = true
		s.emit(TellWave{Wave: w.spec.Name, Complete: status == waveComplete})
	}
}

func (s *State) waveTold(e WaveTold) {
	w, known := s.waves[e.Wave]
	if !known {
		return
	}
	w.telling = false
	if _, ok := e.Outcome.(provider.Committed); !ok {
		klog.InfoS("Operators not told of a wave", "wave", e.Wave, "complete", e.Complete)
		return
	}
	w.told = max(w.told, waveRunning)
	if e.Complete {
		w.told = waveComplete
	}
}

// upkeep moves waves on.
func (s *State) upkeep(now time.Time) {
	s.tellWaves()
	open := false
	for _, w := range s.waves {
		open = open || (!w.complete && len(w.spec.VMs) > 0)
	}
	if !open {
		return
	}
	if !s.listingVMs && now.Sub(s.vmsAsked) >= listInterval {
		s.listingVMs = true
		s.emit(ListVMs{})
	}
	if len(s.vms) == 0 {
		return
	}
	for _, w := range s.waves {
		if !w.complete && len(w.spec.VMs) > 0 {
			s.advance(w, now)
		}
	}
}

func (s *State) listed(e VMsListed) {
	s.listingVMs = false
	s.vmsAsked = e.Asked
	if e.VMs == nil {
		return
	}
	s.vms = make(map[string]backend.VM, len(e.VMs))
	for _, vm := range e.VMs {
		s.vms[vm.Name] = vm
	}
}

func (s *State) advance(w *wave, now time.Time) {
	down, open := 0, make([]string, 0, len(w.spec.VMs))
	for _, name := range w.spec.VMs {
		vm, exists := s.vms[name]
		begun, isBegun := w.begun[name]
		switch {
		case isBegun:
			// The list lags, so a VM counts as down for as long as its maintenance takes, whatever the list says.
			if now.Sub(begun) < s.MaintenanceTime+leaseSlack || (exists && vm.State != backend.VMUp) {
				down++
			}
		case w.inFlight[name] || !w.ordered[name].IsZero():
			down++
			open = append(open, name)
		case !exists || w.dropped[name]:
		default:
			open = append(open, name)
		}
	}
	if len(open) == 0 {
		w.complete, w.changed = true, true
		klog.InfoS("Wave complete", "wave", w.spec.Name, "vms", len(w.begun))
		return
	}
	s.orderMaintenance(w, open, max(w.spec.AtOnce, 1), down, now)
}

func (s *State) orderMaintenance(w *wave, open []string, atOnce, down int, now time.Time) {
	sort.SliceStable(open, func(a, b int) bool {
		x, y := s.liveOn(open[a]), s.liveOn(open[b])
		_, drainsX := w.emptying[open[a]]
		_, drainsY := w.emptying[open[b]]
		if drainsX != drainsY {
			return drainsX
		}
		return x < y
	})
	ahead := atOnce * drainAhead
	for _, name := range open {
		if w.inFlight[name] {
			continue
		}
		if sent, again := w.ordered[name]; again {
			if now.Sub(sent) >= orderRetry {
				s.sendMaintenance(w, name, now)
			}
			continue
		}
		if ahead <= 0 {
			return
		}
		ahead--
		if s.empty(w, name, now) && down < atOnce && s.mayOrderVMs(now) {
			s.sendMaintenance(w, name, now)
			down++
		}
	}
}

// mayOrderVMs reports whether orders about VMs may be sent: the entry VM that was in control before may have sent some
// just before this term.
func (s *State) mayOrderVMs(now time.Time) bool {
	return s.mayStart(now) && now.Sub(s.began) >= s.DutyPause
}

func (s *State) liveOn(vm string) int {
	if v, known := s.servers[s.vms[vm].Server]; known {
		return len(v.attempts)
	}
	return 0
}

// empty stops new work on a VM and reports whether none is left there.
func (s *State) empty(w *wave, name string, now time.Time) bool {
	vm := s.vms[name]
	if vm.State != backend.VMUp {
		return false
	}
	v, known := s.servers[vm.Server]
	if !known {
		return true
	}
	since, emptying := w.emptying[name]
	if !emptying {
		w.emptying[name], since = now, now
		klog.InfoS("VM is emptied for maintenance", "vm", name, "server", v.id, "running", len(v.attempts))
	}
	v.leaving = true
	s.moveLasting(v, "maintenance", false)
	if now.Sub(since) >= drainPatience {
		for _, a := range v.attempts {
			if !a.task.step.spec.LongRunning() && a.task.step.spec.Checkpoints() {
				s.wantStop(a, "maintenance")
			}
		}
	}
	return len(v.attempts) == 0
}

func (s *State) sendMaintenance(w *wave, name string, now time.Time) {
	w.inFlight[name], w.ordered[name] = true, now
	klog.InfoS("Maintenance ordered", "vm", name, "wave", w.spec.Name, "token", s.Token)
	s.emit(MaintainVM{VM: name, Wave: w.spec.Number, Token: s.Token})
}

func (s *State) vmOrderEnded(e VMOrderEnded, now time.Time) {
	for _, w := range s.waves {
		if !w.inFlight[e.VM] {
			continue
		}
		delete(w.inFlight, e.VM)
		s.maintenanceEnded(w, e, now)
	}
}

func (s *State) maintenanceEnded(w *wave, e VMOrderEnded, now time.Time) {
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		delete(w.ordered, e.VM)
		w.begun[e.VM], w.changed = now, true
		s.schedule = true
		if v, known := s.servers[s.vms[e.VM].Server]; known {
			s.abandon(v, now, "maintenance")
		}
	case backend.Refused:
		klog.InfoS("Maintenance refused", "vm", e.VM, "wave", w.spec.Name, "reason", o.Reason)
		switch o.Reason {
		case backend.RefusedStaleToken:
			s.depose("vm-knows-newer-token")
		case backend.RefusedInvalid, backend.RefusedWave:
			delete(w.ordered, e.VM)
			w.dropped[e.VM] = true
		default:
			w.ordered[e.VM] = now
		}
	case backend.Unanswered, backend.Reported:
		w.ordered[e.VM] = now
	}
}

func (s *State) paceEnded(e PaceEnded) {
	a, known := s.attempt(e.Server, e.Run)
	if !known {
		return
	}
	a.pacing = false
	if _, ok := e.Outcome.(backend.Accepted); ok {
		a.pace = e.Percent
	}
}
