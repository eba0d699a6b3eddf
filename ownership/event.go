package ownership

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Event is an input of State.Handle: ServersListed, MembersChanged, AcquireEnded, ReportEnded, ReleaseEnded, Tick or
// DrainRequested.
type Event interface{ event() }

// ServersListed has the backend servers in the availability zone of this entry VM, including those that are leaving.
type ServersListed struct{ servers []provider.VM }

// NewServersListed returns a ServersListed event.
func NewServersListed(servers []provider.VM) ServersListed { return ServersListed{servers: servers} }

// Servers returns the backend servers.
func (e ServersListed) Servers() []provider.VM { return e.servers }

// MembersChanged has the live entry VMs of the availability zone that may own servers. It includes this entry VM
// unless it is leaving.
type MembersChanged struct{ members []string }

// NewMembersChanged returns a MembersChanged event.
func NewMembersChanged(members []string) MembersChanged { return MembersChanged{members: members} }

// Members returns the ids of the entry VMs.
func (e MembersChanged) Members() []string { return e.members }

// AcquireEnded is the result of an Acquire effect.
type AcquireEnded struct {
	server  string
	sent    time.Time
	outcome provider.AcquireOutcome
}

// NewAcquireEnded returns an AcquireEnded event for a request that was sent at sent or later.
func NewAcquireEnded(server string, sent time.Time, outcome provider.AcquireOutcome) AcquireEnded {
	return AcquireEnded{server: server, sent: sent, outcome: outcome}
}

// Server returns the id of the backend server.
func (e AcquireEnded) Server() string { return e.server }

// Sent returns the time from which the duration of a granted lease is counted.
func (e AcquireEnded) Sent() time.Time { return e.sent }

// Outcome returns the result of the request.
func (e AcquireEnded) Outcome() provider.AcquireOutcome { return e.outcome }

// ReportEnded is the result of a Report effect.
type ReportEnded struct {
	server  string
	epoch   uint64
	sent    time.Time
	outcome provider.ReportOutcome
}

// NewReportEnded returns a ReportEnded event for a request that was sent at sent or later.
func NewReportEnded(server string, epoch uint64, sent time.Time, outcome provider.ReportOutcome) ReportEnded {
	return ReportEnded{server: server, epoch: epoch, sent: sent, outcome: outcome}
}

// Server returns the id of the backend server.
func (e ReportEnded) Server() string { return e.server }

// Epoch returns the epoch in the request.
func (e ReportEnded) Epoch() uint64 { return e.epoch }

// Sent returns the time from which the duration of the renewed lease is counted.
func (e ReportEnded) Sent() time.Time { return e.sent }

// Outcome returns the result of the request.
func (e ReportEnded) Outcome() provider.ReportOutcome { return e.outcome }

// ReleaseEnded is the result of a Release effect.
type ReleaseEnded struct {
	server  string
	epoch   uint64
	outcome provider.ReleaseOutcome
}

// NewReleaseEnded returns a ReleaseEnded event for a request with an epoch.
func NewReleaseEnded(server string, epoch uint64, outcome provider.ReleaseOutcome) ReleaseEnded {
	return ReleaseEnded{server: server, epoch: epoch, outcome: outcome}
}

// Server returns the id of the backend server.
func (e ReleaseEnded) Server() string { return e.server }

// Epoch returns the epoch in the request.
func (e ReleaseEnded) Epoch() uint64 { return e.epoch }

// Outcome returns the result of the request.
func (e ReleaseEnded) Outcome() provider.ReleaseOutcome { return e.outcome }

// Tick triggers the work that depends on the time. It is sent every TickInterval.
type Tick struct{}

// NewTick returns a Tick event.
func NewTick() Tick { return Tick{} }

// DrainRequested means that this entry VM is about to stop: all servers are released and none is acquired any more.
type DrainRequested struct{}

// NewDrainRequested returns a DrainRequested event.
func NewDrainRequested() DrainRequested { return DrainRequested{} }

func (ServersListed) event()  {}
func (MembersChanged) event() {}
func (AcquireEnded) event()   {}
func (ReportEnded) event()    {}
func (ReleaseEnded) event()   {}
func (Tick) event()           {}
func (DrainRequested) event() {}
