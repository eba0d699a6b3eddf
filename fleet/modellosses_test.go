package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// finishTime is the time after all faults from which on a task that could run may have no run for maxIdleTime at most.
	finishTime  = 14 * time.Second
	maxIdleTime = 3 * time.Second

	modelTasksPerServer = 3
	minModelServers     = 2 // that are left when others are lost
)

// lossModel plays VMs that are lost for good with their servers, and new VMs in their place. The platform removes a lost VM from its list.
// A nil lossModel loses none.
type lossModel struct {
	vms         int                        // that ever existed
	lossStarts  int                        // how many of the next starts are the last request to their server
	lost        map[string]bool            // servers
	lastServers map[workload.TaskID]string // to which the last start request for a task was sent
	pagedLists  bool                       // lists are read in pages, so that they may lack a VM if another is removed meanwhile
	removed     bool                       // a VM was removed since the last list
	unlisted    string                     // the VM that the last list lacked though it existed
}

// lose ends a server and its VM for good.
func (l *lossModel) lose(m *model, s *modelServer) {
	if s.gone || len(l.remaining(m)) <= minModelServers {
		return
	}
	m.logf("%s is lost for good with %s", s.id, s.vm)
	if !s.down {
		m.noteLostRuns(s)
	}
	s.down, s.gone, l.lost[s.id], l.removed = true, true, true, true
	clear(s.running)
	if m.mutation != listRemovedAsDown {
		delete(m.vms, s.vm)
	}
	m.after(m.delay(3000), func() {
		s.registered = false
		m.handle(m.current, fleet.ServerUnregistered{ID: s.id})
	})
	m.after(500*time.Millisecond+m.delay(3000), func() { l.addVM(m) })
}

func (l *lossModel) addVM(m *model) {
	s := &modelServer{id: fmt.Sprintf("i-%d", l.vms), vm: fmt.Sprintf("m-%d", l.vms)}
	l.vms++
	m.vms[s.vm], m.servers[s.id] = &modelVM{server: s.id, state: backend.VMUp}, s
	m.boot(s.id)
	m.after(m.delay(1000), func() {
		if !s.gone {
			m.register(m.current, s.id, s)
		}
	})
}

// remaining returns the servers that aren't lost, by id.
func (l *lossModel) remaining(m *model) []*modelServer {
	var servers []*modelServer
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if !m.servers[id].gone {
			servers = append(servers, m.servers[id])
		}
	}
	return servers
}

func (l *lossModel) anyServer(m *model) *modelServer {
	servers := l.remaining(m)
	return servers[rapid.IntRange(0, len(servers)-1).Draw(m.t, "server")]
}

// start carries out a start request, or loses the server before or after that and before the response.
func (l *lossModel) start(m *model, s *modelServer, o backend.StartRequest) backend.Outcome {
	if l == nil || l.lossStarts == 0 {
		return m.start(s, o)
	}
	l.lossStarts--
	if m.chance(50, "lost before the start") {
		l.lose(m, s)
	}
	if s.gone {
		return nil // it has no response
	}
	outcome := m.start(s, o)
	l.lose(m, s)
	return outcome
}

// requestsStart notes a start request when it is sent.
func (l *lossModel) requestsStart(e fleet.Start) {
	if l != nil {
		l.lastServers[e.Request.Run.Task] = e.Target.ID
	}
}

// list returns a list as it is read while VMs are removed: it may lack another one that exists, but not the one that the list before
// lacked.
func (l *lossModel) list(m *model, vms []backend.VM) []backend.VM {
	if l == nil {
		return vms
	}
	slices.SortFunc(vms, func(a, b backend.VM) int { return strings.Compare(a.Name, b.Name) })
	before := l.unlisted
	l.unlisted = ""
	lacks := l.pagedLists && l.removed && m.chance(50, "list lacks a VM")
	l.removed = false
	vms = slices.Clone(vms)
	if lacks {
		n := rapid.IntRange(0, len(vms)-1).Draw(m.t, "VM")
		if cut := slices.IndexFunc(vms, func(vm backend.VM) bool { return l.isPartitioned(m, vm.Name) }); cut >= 0 {
			n = cut // only this reveals a run that is given up too soon
		}
		l.unlisted = vms[n].Name
	}
	return slices.DeleteFunc(vms, func(vm backend.VM) bool {
		return m.mutation == unlistPartitioned && l.isPartitioned(m, vm.Name) || vm.Name == l.unlisted && vm.Name != before
	})
}

func (l *lossModel) readsPages() bool { return l != nil && l.pagedLists }

func (l *lossModel) isPartitioned(m *model, vm string) bool {
	v, exists := m.vms[vm]
	return exists && m.servers[v.server].partitioned
}

// inject injects a random fault, and ends the term of the controller soon after every other one.
func (l *lossModel) inject(m *model) {
	fault := rapid.IntRange(0, 6).Draw(m.t, "fault of losses")
	switch {
	case m.mutation == unlistPartitioned:
		fault = 5
	case l.pagedLists:
		fault = rapid.SampledFrom([]int{2, 3, 5, 5}).Draw(m.t, "fault of paged lists")
	}
	switch fault {
	case 0, 1:
		l.lossStarts = rapid.IntRange(1, 2).Draw(m.t, "losses at starts")
	case 2:
		l.lose(m, l.anyServer(m))
		l.lose(m, l.anyServer(m))
	case 3: // while no controller may be there
		s := l.anyServer(m)
		m.after(m.delay(1500), func() { l.lose(m, s) })
	case 4:
		m.lateRequests, m.lostResponses = rapid.IntRange(0, 20).Draw(m.t, "late requests"), rapid.IntRange(0, 20).Draw(m.t, "lost responses")
	case 5: // its VM stays listed
		s := l.anyServer(m)
		s.partitioned = true
		m.after(m.delay(12_000), func() { s.partitioned = false })
		if other := l.anyServer(m); l.pagedLists && other != s {
			m.after(time.Second+m.delay(2000), func() { l.lose(m, other) })
		}
	case 6:
		m.crash(l.anyServer(m))
	}
	if m.chance(50, "change of controllers") {
		m.advance(m.delay(400))
		m.handOver()
	}
}

// check ends all faults and checks that, after finishTime, no task whose last server was lost has no run for maxIdleTime although it
// could run: its turn has come, and under half of the capacity is in use.
func (l *lossModel) check(m *model) {
	m.endFaults()
	l.lossStarts = 0
	m.advance(finishTime)
	idle := l.runnable(m)
	for until := m.now.Add(maxIdleTime); m.now.Before(until) && len(idle) > 0; m.advance(100 * time.Millisecond) {
		now := l.runnable(m)
		maps.DeleteFunc(idle, func(task workload.TaskID, _ string) bool { return now[task] == "" })
	}
	for task, server := range idle {
		m.fail("%v has no run although it could run, %s after all faults, and its last server %s was lost", task, finishTime+maxIdleTime, server)
	}
}

// runnable returns the tasks that could run and don't, each with its last server, which was lost.
func (l *lossModel) runnable(m *model) map[workload.TaskID]string {
	runs := make(map[workload.TaskID]bool)
	servers := l.remaining(m)
	for _, s := range servers {
		for run := range s.running {
			runs[run.Task] = true
		}
	}
	found := make(map[workload.TaskID]string)
	if 2*len(runs) >= modelTasksPerServer*len(servers) {
		return found
	}
	for _, j := range m.jobs {
		p, err := workload.DecodeProgress(m.rows[fleet.ProgressPrefix+j.ID()])
		if err != nil || p.State.Final() {
			continue
		}
		for task, server := range l.lastServers {
			first := workload.StepID{}.String()
			ready := task.Step == 0 || slices.Contains(p.DoneSteps, first)
			step := workload.StepID{Step: task.Step}.String()
			done := slices.Contains(p.DoneSteps, step) || slices.Contains(p.DoneTasks[step], task.Index)
			if task.Job == j.ID() && l.lost[server] && ready && !done && !runs[task] {
				found[task] = server
			}
		}
	}
	return found
}

// playLosses plays losses beside changes of controllers, servers that return or are cut off, and old lists.
func (m *model) playLosses(pagedLists bool) {
	m.losses = &lossModel{
		vms: len(m.vms), lost: make(map[string]bool), lastServers: make(map[workload.TaskID]string), pagedLists: pagedLists,
	}
	m.advance(20 * time.Second) // a list of VMs says nothing about servers that it may be older than
	m.playFaults()
	m.losses.check(m)
	m.recoverAndCheck(40 * time.Second)
}

func checkLosses(t *testing.T, holdStarts, pagedLists bool) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.slowStore = m.chance(slowStorePercent, "slow store")
		m.lateLists = rapid.SampledFrom([]int{0, 50}).Draw(t, "old lists")
		if holdStarts {
			m.holdStarts, m.dropAcknowledgements, m.lateRequests = true, true, 20
		}
		m.playLosses(pagedLists)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
	})
}

// Guards against tasks that wait for servers that are lost for good, and against two concurrent runs of a task, while VMs are removed
// between a start request and its response, or around a change of controllers.
func TestTasksOfLostServersRunElsewhere(t *testing.T) { checkLosses(t, false, false) }

// Guards against the same while start requests that were held for seconds outlast the restart of their server.
func TestTasksOfLostServersRunElsewhereWhileStartsAreHeld(t *testing.T) { checkLosses(t, true, false) }
