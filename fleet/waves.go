package fleet

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/schedule"
)

const (
	vmListInterval   = 400 * time.Millisecond // between two reads of the list of VMs
	bytesPerListedVM = 250
	vmListLinkShare  = 0.1
	// drainGracePeriod is the time from the start of a drain until tasks with checkpoints are stopped.
	drainGracePeriod = 2500 * time.Millisecond
	// maintenanceRetryDelay is the time until a maintenance request that was refused or got no response is repeated.
	maintenanceRetryDelay = 500 * time.Millisecond
)

// wave is a set of VMs whose maintenance operators requested, with its progress.
type wave struct {
	spec          directory.Wave
	firstSeen     time.Time            // when the wave was first read
	begunAt       map[string]time.Time // when the maintenance request was accepted, by VM
	requestedAt   map[string]time.Time // last request that has no outcome or has to be repeated, by VM
	inFlight      map[string]bool
	server        map[string]string    // the server of a VM at the first request that has no outcome
	drainingSince map[string]time.Time // when the drain of a VM began
	complete      bool
	changed       bool
	// storedComplete is true once the store has recorded that the wave is complete.
	storedComplete bool

	interruptions map[*task]interruption // long-running tasks that were stopped for the wave

	publishedStatus waveStatus // the last status that was published for operators
	publishing      bool
	lateLogged      bool            // the VMs that were left at the time limit are logged
	skipped         map[string]bool // VMs whose maintenance was refused as invalid or as not part of the wave
}

// waveStatus is the status of a wave that is published for operators. Statuses only increase.
type waveStatus uint8

const (
	waveUnpublished waveStatus = iota
	waveInProgress
	waveComplete
)

// storedWave is the stored progress of a wave.
type storedWave struct {
	Begun    []string `json:"begun,omitempty"`
	SeenMS   int64    `json:"seen-ms"` // when the wave was first read, in Unix milliseconds
	Complete bool     `json:"complete,omitempty"`
	// Version is that of the operators' row with the wave, or 0 if an earlier release stored the progress.
	Version uint64 `json:"version,omitempty"`
}

func newWave(spec directory.Wave) *wave {
	return &wave{
		spec: spec, begunAt: make(map[string]time.Time), requestedAt: make(map[string]time.Time),
		inFlight: make(map[string]bool), server: make(map[string]string), drainingSince: make(map[string]time.Time), skipped: make(map[string]bool),
		interruptions: make(map[*task]interruption),
	}
}

func (s *State) addWave(spec directory.Wave, now time.Time) {
	w, known := s.waves[spec.Name]
	if !known {
		w = newWave(spec)
		s.waves[spec.Name] = w
		w.firstSeen, w.changed = now, true
		w.spec = spec
		return
	}
	if spec.Version < w.spec.Version {
		return // the rows of the load and of the feed overlap
	}
	if spec.Version != w.spec.Version {
		s.replaceWave(w, spec, now)
		return
	}
	w.spec = spec
}

// reopen prepares a wave for another content of its row. VMs whose maintenance has begun for the wave aren't maintained again.
func (w *wave) reopen(now time.Time) {
	if w.spec.Version != 0 {
		w.firstSeen = now
	}
	w.complete, w.storedComplete, w.changed = false, false, true
	w.publishedStatus, w.publishing = waveUnpublished, false
	w.lateLogged = false
	clear(w.skipped)
	clear(w.interruptions)
}

// restoreWaves loads the stored progress of waves. Their specifications come later, from the operators' table.
func (s *State) restoreWaves(rows []provider.Row) {
	for _, row := range rows {
		name := row.Key()[len(WavesPrefix):]
		var stored storedWave
		if err := json.Unmarshal(row.Value(), &stored); err != nil {
			klog.ErrorS(err, "Failed to decode stored wave", "wave", name)
			continue
		}
		w := newWave(directory.Wave{Name: name, Version: stored.Version})
		w.storedComplete = stored.Complete
		w.complete, w.firstSeen = stored.Complete, time.UnixMilli(stored.SeenMS)
		for _, vm := range stored.Begun {
			w.begunAt[vm] = s.began
		}
		s.waves[name] = w
	}
}

// addWaves adds the changed waves to a commit, and reports whether it holds all of them but those that the store rejected.
func (s *State) addWaves(c *commit) (all bool) {
	all = true
	for _, w := range s.waves {
		if !w.changed {
			continue
		}
		stored := storedWave{Complete: w.complete, SeenMS: w.firstSeen.UnixMilli(), Version: w.spec.Version}
		for vm := range w.begunAt {
			stored.Begun = append(stored.Begun, vm)
		}
		sort.Strings(stored.Begun)
		data, err := json.Marshal(stored)
		if err != nil {
			panic(err) // strings and numbers can always be encoded
		}
		write := provider.NewPut(WavesPrefix+w.spec.Name, data)
		if s.add(c, wavePart{wave: w, version: w.spec.Version, complete: w.complete}, write) {
			w.changed = false
			continue
		}
		all = all && s.rejections.holds(write, c.sentAt)
	}
	return all
}

// publishWaves publishes the status of each wave if it changed. A wave is published as complete only after that is
// stored.
func (s *State) publishWaves() {
	for _, w := range s.waves {
		status := waveInProgress
		if w.storedComplete {
			status = waveComplete
		}
		if w.publishing || w.publishedStatus >= status || len(w.spec.VMs) == 0 {
			continue
		}
		w.publishing = true
		s.emit(PublishWaveStatus{Wave: w.spec.Name, Version: w.spec.Version, Complete: status == waveComplete})
	}
}

func (s *State) wavePublished(e WaveStatusPublished) {
	w, known := s.waves[e.Wave]
	if !known || e.Version != w.spec.Version {
		return
	}
	w.publishing = false
	if _, ok := e.Outcome.(provider.Committed); !ok {
		klog.InfoS("Failed to publish wave status", "wave", e.Wave, "complete", e.Complete)
		return
	}
	w.publishedStatus = max(w.publishedStatus, waveInProgress)
	if e.Complete {
		w.publishedStatus = waveComplete
	}
}

// listVMs requests the platform's list of VMs every vmListInterval, or less often if it would take more than
// vmListLinkShare of the VM's network link.
func (s *State) listVMs(now time.Time) {
	interval := vmListInterval
	if s.LinkMbps > 0 {
		bits := float64(8 * bytesPerListedVM * len(s.vms))
		interval = max(interval, time.Duration(bits/(vmListLinkShare*s.LinkMbps*1e6)*float64(time.Second)))
	}
	if !s.listingVMs && now.Sub(s.vmsRequestedAt) >= interval {
		s.listingVMs, s.vmsRequestedAt = true, now
		s.emit(ListVMs{})
	}
}

// advanceWaves publishes the status of waves and advances those that aren't complete.
func (s *State) advanceWaves(now time.Time) {
	s.releaseAbandoned(now)
	s.dropInheritedRequests(now)
	s.publishWaves()
	if len(s.vms) == 0 {
		return
	}
	s.maintenanceDue = make(map[string]bool)
	for _, v := range s.allServers() {
		v.maintenanceDue = false
	}
	for _, w := range s.waves {
		if !w.complete && len(w.spec.VMs) > 0 {
			s.advanceWave(w, now)
		}
	}
}

func (s *State) vmsListed(e VMsListed) {
	s.listingVMs = false
	if e.VMs == nil {
		return
	}
	previous := vmList{vms: s.vms, requestedAt: s.vmsListedAt}
	s.vmsListedAt = e.RequestedAt
	vms := make(map[string]backend.VM, len(e.VMs))
	s.vmNames = s.vmNames[:0]
	listedServers := make(map[string]bool, len(e.VMs))
	for _, vm := range e.VMs {
		listedServers[vm.Server] = true
		vms[vm.Name] = vm
		s.vmNames = append(s.vmNames, vm.Name)
	}
	s.logListedVMs(vms)
	s.vms = vms
	slices.Sort(s.vmNames)
	s.resolveByVMs(e.VMs, e.RequestedAt)
	s.detectDownServers(e.RequestedAt)
	s.detectRemovedVMs(previous)
	for id, at := range s.droppedAt {
		if s.vmsListedAt.After(at) && !listedServers[id] {
			delete(s.droppedAt, id)
		}
	}
}

// inProgress reports whether a VM is being drained, or its maintenance is requested and hasn't begun.
func (w *wave) inProgress(vm string) bool {
	_, draining := w.drainingSince[vm]
	_, begun := w.begunAt[vm]
	return !w.complete && !begun && (draining || w.inFlight[vm] || !w.requestedAt[vm].IsZero())
}

func (s *State) advanceWave(w *wave, now time.Time) {
	down := 0
	var open []schedule.MaintenanceVM
	for _, name := range w.spec.VMs {
		s.adoptInheritedRequest(w, name, now)
		vm, exists := s.vms[name]
		begun, isBegun := w.begunAt[name]
		_, moving := s.moves[name]
		switch {
		case isBegun:
			// The list of VMs lags behind, so a VM counts as down at least for the duration of its maintenance.
			// A move begins only after the maintenance, so a VM that moves doesn't count.
			if now.Sub(begun) < s.MaintenanceTime+leaseMargin || (exists && vm.State != backend.VMUp && vm.State != backend.VMMoving) {
				down++
			}
		case w.inFlight[name] || !w.requestedAt[name].IsZero():
			down++
			open = append(open, schedule.MaintenanceVM{VM: name, Requested: true})
		case !exists || w.skipped[name]:
		default:
			_, draining := w.drainingSince[name]
			_, abandoned := s.abandoned[name]
			_, inherited := s.inheritedRequests[name]
			if vm.State == backend.VMMaintenance || s.mayBeRequestedBefore(name) || abandoned || inherited {
				down++ // by a request of the previous controller whose outcome isn't stored, or one that was abandoned
			}
			blocked := moving || vm.State != backend.VMUp || s.requestedForOther(w, name)
			entry := schedule.MaintenanceVM{VM: name, Draining: draining, Blocked: blocked}
			s.maintenanceDue[name] = true
			for _, v := range s.serversByVM[name] {
				v.maintenanceDue = true
			}
			if v, known := s.servers[vm.Server]; known {
				v.maintenanceDue = true
				entry.Runs, entry.HasLongRunning = len(v.attempts), v.hasLongRunning()
			}
			open = append(open, entry)
		}
	}
	if len(open) == 0 {
		w.complete, w.changed = true, true
		clear(w.interruptions)
		klog.InfoS("Wave complete", "wave", w.spec.Name, "vms", len(w.begunAt))
		return
	}
	s.logLateVMs(w, now)
	s.retryMaintenance(w, now)
	plan := schedule.PlanMaintenance(schedule.MaintenanceWave{
		VMs: open, MaxConcurrent: w.spec.MaxConcurrent, Down: down, TimeLeft: w.firstSeen.Add(w.spec.TimeLimit).Sub(now),
		MaintenanceTime: s.MaintenanceTime, TimeLimit: w.spec.TimeLimit, CapacityShortage: s.capacityShortage,
	})
	for _, name := range plan.MigrateLongRunning {
		if v, known := s.servers[s.vms[name].Server]; known {
			s.migrateLongRunning(w, v, now)
		}
	}
	drainingPools := make(map[string]bool) // pools in which a VM with long-running tasks is being drained
	for _, name := range plan.Drain {
		s.drainVM(w, name, drainingPools, now)
	}
	for _, name := range plan.Start {
		if s.vmRequestAllowed(name, now) && s.runsOn(name) == 0 && s.listIsCurrent(name) {
			s.requestMaintenance(w, name, now)
		}
	}
}

// requestedForOther reports whether a request for a VM by another wave, or by this one before it was replaced, may still be
// carried out.
func (s *State) requestedForOther(w *wave, vm string) bool {
	if _, abandoned := s.abandoned[vm]; abandoned {
		return true
	}
	for _, other := range s.waves {
		if other != w && (other.inFlight[vm] || !other.requestedAt[vm].IsZero()) {
			return true
		}
	}
	return false
}

func (s *State) retryMaintenance(w *wave, now time.Time) {
	for name, sent := range w.requestedAt {
		if w.inFlight[name] || now.Sub(sent) < maintenanceRetryDelay || s.mayBeRequestedBefore(name) {
			continue
		}
		// If the last request was carried out without a response, a new server may already have runs.
		if s.runsOn(name) == 0 && s.vmRequestAllowed(name, now) {
			s.requestMaintenance(w, name, now)
		}
	}
}

// drainVM cordons the server of a VM and stops its long-running tasks, and after drainGracePeriod also tasks that can
// continue from a checkpoint. Tasks that fit elsewhere were stopped by migrateLongRunning before. The others are
// stopped on one VM of a pool at a time. Only a few tasks of a step may be unavailable: if several VMs were drained at
// once, each would lose some of its tasks, and they would keep each other from becoming empty.
func (s *State) drainVM(w *wave, name string, drainingPools map[string]bool, now time.Time) {
	v, known := s.servers[s.vms[name].Server]
	if !known {
		return
	}
	since, draining := w.drainingSince[name]
	if !draining {
		w.drainingSince[name], since = now, now
		klog.InfoS("Draining VM for maintenance", "vm", name, "server", v.id, "running", len(v.attempts))
	}
	v.cordoned = true
	if v.hasLongRunning() && !drainingPools[v.reg.Pool] {
		drainingPools[v.reg.Pool] = true
		s.interruptAll(w, v, now)
	}
	if now.Sub(since) < drainGracePeriod {
		return
	}
	for _, a := range v.attempts {
		if !a.task.step.spec.LongRunning() && a.task.step.spec.Checkpoints() {
			s.requestStop(a, stopMaintenance)
		}
	}
}

func (s *State) requestMaintenance(w *wave, name string, now time.Time) {
	if w.requestedAt[name].IsZero() {
		w.server[name] = s.vms[name].Server
	}
	w.inFlight[name], w.requestedAt[name] = true, now
	if v, known := s.servers[s.vms[name].Server]; known {
		v.cordoned = true
	}
	klog.InfoS("Requesting maintenance", "vm", name, "wave", w.spec.Name, "token", s.Token)
	request := MaintainVM{VM: name, Wave: w.spec.Number, Token: s.Token}
	s.vmRequests = append(s.vmRequests, vmRequest{vm: name, effect: request})
}

func (s *State) maintenanceEnded(e MaintenanceEnded, now time.Time) {
	s.vmRequestEnded(e.VM, e.Outcome, now)
	s.abandonedRequestEnded(e, now)
	for _, w := range s.waves {
		if w.spec.Number == e.Wave && w.inFlight[e.VM] {
			delete(w.inFlight, e.VM)
			s.waveRequestEnded(w, e, now)
		}
	}
}

func (s *State) waveRequestEnded(w *wave, e MaintenanceEnded, now time.Time) {
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		delete(w.requestedAt, e.VM)
		w.begunAt[e.VM], w.changed = now, true
		s.placeAll = true
		if v, known := s.servers[w.server[e.VM]]; known {
			s.retire(v, "maintenance", now)
		}
		s.uncordonVM(e.VM) // a repeated request has cordoned the VM's next server
	case backend.Refused:
		klog.InfoS("Maintenance refused", "vm", e.VM, "wave", w.spec.Name, "reason", o.Reason)
		switch o.Reason {
		case backend.RefusedStaleToken:
			s.depose("vm-knows-newer-token")
		case backend.RefusedInvalid, backend.RefusedWave:
			delete(w.requestedAt, e.VM)
			delete(w.drainingSince, e.VM)
			w.skipped[e.VM] = true
			s.uncordonVM(e.VM)
		default:
			w.requestedAt[e.VM] = now
		}
	case backend.OutcomeUnknown, backend.Reported:
		w.requestedAt[e.VM] = now
	}
}
