package ownership

import "github.com/pistachiolead/pistachiolead/provider"

// Effect is an output of State.Handle: Acquire, Report, Release, Gained, Lost or Reported.
type Effect interface{ effect() }

// Acquire requests a call of BackendServer.Acquire. The caller reports its result with AcquireEnded.
type Acquire struct{ server string }

// NewAcquire returns an Acquire effect.
func NewAcquire(server string) Acquire { return Acquire{server: server} }

// Server returns the id of the backend server.
func (e Acquire) Server() string { return e.server }

// Report requests a call of BackendServer.Report, which renews the lease. The caller reports its result with
// ReportEnded.
type Report struct {
	server string
	epoch  uint64
}

// NewReport returns a Report effect.
func NewReport(server string, epoch uint64) Report { return Report{server: server, epoch: epoch} }

// Server returns the id of the backend server.
func (e Report) Server() string { return e.server }

// Epoch returns the epoch of the lease to renew.
func (e Report) Epoch() uint64 { return e.epoch }

// Release requests a call of BackendServer.Release. The caller reports its result with ReleaseEnded.
type Release struct {
	server string
	epoch  uint64
}

// NewRelease returns a Release effect.
func NewRelease(server string, epoch uint64) Release { return Release{server: server, epoch: epoch} }

// Server returns the id of the backend server.
func (e Release) Server() string { return e.server }

// Epoch returns the epoch of the lease to end.
func (e Release) Epoch() uint64 { return e.epoch }

// Gained means that this entry VM owns a server from now on. It has the tasks that the server already runs.
type Gained struct {
	server string
	epoch  uint64
	tasks  []provider.TaskStatus
}

// NewGained returns a Gained effect.
func NewGained(server string, epoch uint64, tasks []provider.TaskStatus) Gained {
	return Gained{server: server, epoch: epoch, tasks: tasks}
}

// Server returns the id of the backend server.
func (e Gained) Server() string { return e.server }

// Epoch returns the epoch of the lease.
func (e Gained) Epoch() uint64 { return e.epoch }

// Tasks returns the tasks that the server runs or whose answers it keeps.
func (e Gained) Tasks() []provider.TaskStatus { return e.tasks }

// Lost means that this entry VM no longer owns a server. Each Gained is followed by exactly one Lost, which precedes
// the Release if there is one.
type Lost struct {
	server string
	epoch  uint64
}

// NewLost returns a Lost effect.
func NewLost(server string, epoch uint64) Lost { return Lost{server: server, epoch: epoch} }

// Server returns the id of the backend server.
func (e Lost) Server() string { return e.server }

// Epoch returns the epoch of the lease that ended.
func (e Lost) Epoch() uint64 { return e.epoch }

// Reported has the report of an owned server.
type Reported struct {
	server string
	report provider.Report
}

// NewReported returns a Reported effect.
func NewReported(server string, report provider.Report) Reported {
	return Reported{server: server, report: report}
}

// Server returns the id of the backend server.
func (e Reported) Server() string { return e.server }

// Report returns the server's tasks and load.
func (e Reported) Report() provider.Report { return e.report }

func (Acquire) effect()  {}
func (Report) effect()   {}
func (Release) effect()  {}
func (Gained) effect()   {}
func (Lost) effect()     {}
func (Reported) effect() {}
