package fleet

import (
	"encoding/json"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	listInterval  = 400 * time.Millisecond // between two readings of the list of VMs
	drainPatience = 2500 * time.Millisecond
	orderRetry    = 500 * time.Millisecond
)

// wave is maintenance that operators asked for.
type wave struct {
	spec     directory.Wave
	seen     time.Time            // when it was read first
	begun    map[string]time.Time // when the order was accepted
	ordered  map[string]time.Time // orders without an outcome, or that have to be repeated
	inFlight map[string]bool
	emptying map[string]time.Time // since when a VM takes no more work
	complete bool
	changed  bool
	// storedComplete tells that the store knows that the wave is complete.
	storedComplete bool

	told    waveStatus // what operators were told last
	telling bool
	dropped map[string]bool // VMs that don't exist any more, or aren't of the wave
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
	SeenMS   int64    `json:"seen-ms"`
	Complete bool     `json:"complete,omitempty"`
}

// storedWaveOf is a wave in a commit, as it was then.
type storedWaveOf struct {
	wave     *wave
	complete bool
}

func newWave(spec directory.Wave) *wave {
	return &wave{
		spec: spec, begun: make(map[string]time.Time), ordered: make(map[string]time.Time),
		inFlight: make(map[string]bool), emptying: make(map[string]time.Time), dropped: make(map[string]bool),
	}
}

func (s *State) addWave(spec directory.Wave, now time.Time) {
	w, known := s.waves[spec.Name]
	if !known {
		w = newWave(spec)
		s.waves[spec.Name] = w
		w.seen, w.changed = now, true
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
		w.storedComplete = stored.Complete
		w.complete, w.seen = stored.Complete, time.UnixMilli(stored.SeenMS)
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
		c.waves = append(c.waves, storedWaveOf{wave: w, complete: w.complete})
		stored := storedWave{Complete: w.complete, SeenMS: w.seen.UnixMilli()}
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
		if w.storedComplete {
			status = waveComplete
		}
		if w.telling || w.told >= status || len(w.spec.VMs) == 0 {
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

// listVMs reads the platform's list of VMs from time to time.
func (s *State) listVMs(now time.Time) {
	if !s.listingVMs && now.Sub(s.vmsAsked) >= listInterval {
		s.listingVMs = true
		s.emit(ListVMs{})
	}
}

// upkeep moves waves on.
func (s *State) upkeep(now time.Time) {
	s.tellWaves()
	if len(s.vms) == 0 {
		return
	}
	s.due = make(map[string]bool)
	for _, v := range s.allServers() {
		v.due = false
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

// busy reports whether a VM is being emptied or maintained.
func (w *wave) busy(vm string) bool {
	_, emptying := w.emptying[vm]
	_, begun := w.begun[vm]
	return !w.complete && !begun && (emptying || w.inFlight[vm] || !w.ordered[vm].IsZero())
}

func (s *State) advance(w *wave, now time.Time) {
	down := 0
	var open []schedule.MaintenanceVM
	for _, name := range w.spec.VMs {
		vm, exists := s.vms[name]
		begun, isBegun := w.begun[name]
		_, moving := s.moves[name]
		switch {
		case isBegun:
			// The list lags, so a VM counts as down for as long as its maintenance takes, whatever the list says.
			if now.Sub(begun) < s.MaintenanceTime+leaseSlack || (exists && vm.State != backend.VMUp) {
				down++
			}
		case w.inFlight[name] || !w.ordered[name].IsZero():
			down++
			open = append(open, schedule.MaintenanceVM{VM: name, Requested: true})
		case !exists || w.dropped[name]:
		default:
			_, emptying := w.emptying[name]
			entry := schedule.MaintenanceVM{VM: name, Draining: emptying, Blocked: moving || vm.State != backend.VMUp}
			s.due[name] = true
			if v, known := s.servers[vm.Server]; known {
				v.due = true
				entry.Runs, entry.HasLongRunning = len(v.attempts), v.lasting()
			}
			open = append(open, entry)
		}
	}
	if len(open) == 0 {
		w.complete, w.changed = true, true
		klog.InfoS("Wave complete", "wave", w.spec.Name, "vms", len(w.begun))
		return
	}
	s.repeatOrders(w, now)
	plan := schedule.PlanMaintenance(schedule.MaintenanceWave{
		VMs: open, MaxDown: w.spec.MaxConcurrent, Down: down, TimeLeft: w.seen.Add(w.spec.TimeLimit).Sub(now),
		VMDuration: s.MaintenanceTime, TimeLimit: w.spec.TimeLimit, CapacityShortage: s.scarce,
	})
	for _, name := range plan.MigrateLongRunning {
		if v, known := s.servers[s.vms[name].Server]; known {
			s.relieve(v, now)
		}
	}
	front := make(map[string]bool) // pools in which a VM is emptied although its tasks may find no room elsewhere
	for _, name := range plan.Drain {
		s.empty(w, name, front, now)
	}
	for _, name := range plan.Start {
		if s.mayOrderVM(name, now) && s.liveOn(name) == 0 {
			s.sendMaintenance(w, name, now)
		}
	}
}

func (s *State) repeatOrders(w *wave, now time.Time) {
	for name, sent := range w.ordered {
		if !w.inFlight[name] && now.Sub(sent) >= orderRetry {
			s.sendMaintenance(w, name, now)
		}
	}
}

func (s *State) liveOn(vm string) int {
	if v, known := s.servers[s.vms[vm].Server]; known {
		return len(v.attempts)
	}
	return 0
}

// relieve moves tasks that last away from a server that goes on with other work.
func (s *State) relieve(v *server, now time.Time) {
	if !s.mayStart(now) {
		return
	}
	for _, a := range v.attempts {
		if !a.task.step.spec.LongRunning() || a.stopWanted || !s.mayMiss(a) {
			continue
		}
		if !s.fitsElsewhere(a.task.step, v, now) {
			s.short[v.reg.Pool]++
			continue
		}
		s.wantStop(a, "maintenance")
	}
}

// fitsElsewhere reports whether a server of the pool that isn't due for maintenance has room for a task that lasts once
// other tasks there have ended: tasks that last are placed before these.
func (s *State) fitsElsewhere(st *step, than *server, now time.Time) bool {
	p := &pool{}
	for _, v := range s.allServers() {
		if v != than && v.reg.Pool == than.reg.Pool && !v.due && s.takesWork(v, now) {
			p.add(v)
			p.views[len(p.views)-1].Free = v.reg.Capacity.Minus(v.lastingReserved())
		}
	}
	p.look(st)
	s.bar(st, p, now)
	return schedule.SelectServer(st.spec, p.views) >= 0
}

// lastingReserved is what the tasks that last reserve on a server.
func (v *server) lastingReserved() workload.Resources {
	var total workload.Resources
	for _, a := range v.attempts {
		if a.task.step.spec.LongRunning() {
			total = total.Plus(a.reserves)
		}
	}
	return total
}

// empty stops new work on a VM, and moves away what doesn't end by itself. Without room elsewhere that is done for one VM
// of a pool at a time: VMs that each lose some of their tasks that last would wait for each other, as few of a step may
// be away, and none of them would be empty.
func (s *State) empty(w *wave, name string, front map[string]bool, now time.Time) {
	v, known := s.servers[s.vms[name].Server]
	if !known {
		return
	}
	since, emptying := w.emptying[name]
	if !emptying {
		w.emptying[name], since = now, now
		klog.InfoS("VM is emptied for maintenance", "vm", name, "server", v.id, "running", len(v.attempts))
	}
	v.leaving = true
	if v.lasting() && !front[v.reg.Pool] {
		front[v.reg.Pool] = true
		s.moveLasting(v, "maintenance", false)
	}
	if now.Sub(since) < drainPatience {
		return
	}
	for _, a := range v.attempts {
		if !a.task.step.spec.LongRunning() && a.task.step.spec.Checkpoints() {
			s.wantStop(a, "maintenance")
		}
	}
}

func (s *State) sendMaintenance(w *wave, name string, now time.Time) {
	w.inFlight[name], w.ordered[name] = true, now
	if v, known := s.servers[s.vms[name].Server]; known {
		v.leaving = true
	}
	klog.InfoS("Maintenance ordered", "vm", name, "wave", w.spec.Name, "token", s.Token)
	order := MaintainVM{VM: name, Wave: w.spec.Number, Token: s.Token}
	s.vmOrders = append(s.vmOrders, vmOrder{vm: name, effect: order})
}

func (s *State) maintenanceEnded(e MaintenanceEnded, now time.Time) {
	for _, w := range s.waves {
		if w.inFlight[e.VM] {
			delete(w.inFlight, e.VM)
			s.waveOrderEnded(w, e, now)
		}
	}
}

func (s *State) waveOrderEnded(w *wave, e MaintenanceEnded, now time.Time) {
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
	case backend.OutcomeUnknown, backend.Reported:
		w.ordered[e.VM] = now
	}
}
