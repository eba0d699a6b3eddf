package dispatch

import (
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Event is an input of State.Handle: one of the types in this file, StatusQueried or ExplanationQueried.
type Event interface{ event() }

// Submitted is a request from a caller, or one that another entry VM forwarded.
type Submitted struct {
	ticket  uint64
	request Request
}

// NewSubmitted returns a Submitted event. The outcome is replied to the ticket.
func NewSubmitted(ticket uint64, r Request) Submitted { return Submitted{ticket: ticket, request: r} }

// Cancelled cancels a request, because its team asked for it or its caller closed the connection.
type Cancelled struct {
	ticket             uint64
	id                 string
	callerDisconnected bool
}

// NewCancelled returns a Cancelled event for a cancellation by the request's team. The outcome is replied to the
// ticket.
func NewCancelled(ticket uint64, id string) Cancelled { return Cancelled{ticket: ticket, id: id} }

// NewCallerDisconnected returns a Cancelled event for a caller that closed its connection. It has no effect on jobs.
func NewCallerDisconnected(id string) Cancelled { return Cancelled{id: id, callerDisconnected: true} }

// RunEnded is the result of a Run effect.
type RunEnded struct {
	server  string
	epoch   uint64
	id      string
	attempt int
	outcome provider.RunOutcome
}

// NewRunEnded returns a RunEnded event.
func NewRunEnded(server string, epoch uint64, id string, attempt int, o provider.RunOutcome) RunEnded {
	return RunEnded{server: server, epoch: epoch, id: id, attempt: attempt, outcome: o}
}

// CloseEnded is the result of a Close effect.
type CloseEnded struct {
	server  string
	epoch   uint64
	id      string
	attempt int
	outcome provider.CloseOutcome
}

// NewCloseEnded returns a CloseEnded event.
func NewCloseEnded(server string, epoch uint64, id string, attempt int, o provider.CloseOutcome) CloseEnded {
	return CloseEnded{server: server, epoch: epoch, id: id, attempt: attempt, outcome: o}
}

// SignalEnded is the result of a Signal effect.
type SignalEnded struct {
	server  string
	id      string
	attempt int
	outcome provider.SignalOutcome
}

// NewSignalEnded returns a SignalEnded event.
func NewSignalEnded(server, id string, attempt int, o provider.SignalOutcome) SignalEnded {
	return SignalEnded{server: server, id: id, attempt: attempt, outcome: o}
}

// AcquireEnded is the result of an Acquire effect.
type AcquireEnded struct {
	server  string
	sent    time.Time
	outcome provider.AcquireOutcome
}

// NewAcquireEnded returns an AcquireEnded event. Sent is the time right before the request was sent.
func NewAcquireEnded(server string, sent time.Time, o provider.AcquireOutcome) AcquireEnded {
	return AcquireEnded{server: server, sent: sent, outcome: o}
}

// ReportEnded is the result of a Report effect.
type ReportEnded struct {
	server  string
	epoch   uint64
	sent    time.Time
	outcome provider.ReportOutcome
}

// NewReportEnded returns a ReportEnded event. Sent is the time right before the request was sent.
func NewReportEnded(server string, epoch uint64, sent time.Time, o provider.ReportOutcome) ReportEnded {
	return ReportEnded{server: server, epoch: epoch, sent: sent, outcome: o}
}

// ReleaseEnded is the result of a Release effect.
type ReleaseEnded struct {
	server  string
	epoch   uint64
	outcome provider.ReleaseOutcome
}

// NewReleaseEnded returns a ReleaseEnded event.
func NewReleaseEnded(server string, epoch uint64, o provider.ReleaseOutcome) ReleaseEnded {
	return ReleaseEnded{server: server, epoch: epoch, outcome: o}
}

// CommitEnded is the result of a Commit effect.
type CommitEnded struct {
	ticket  uint64
	outcome provider.CommitOutcome
}

// NewCommitEnded returns a CommitEnded event.
func NewCommitEnded(ticket uint64, o provider.CommitOutcome) CommitEnded {
	return CommitEnded{ticket: ticket, outcome: o}
}

// ScanEnded is the result of a Scan effect.
type ScanEnded struct {
	ticket  uint64
	prefix  string
	sent    time.Time
	outcome provider.ScanOutcome
}

// NewScanEnded returns a ScanEnded event. Sent is the time right before the request was sent.
func NewScanEnded(ticket uint64, prefix string, sent time.Time, o provider.ScanOutcome) ScanEnded {
	return ScanEnded{ticket: ticket, prefix: prefix, sent: sent, outcome: o}
}

// PutEnded is the result of a Put effect.
type PutEnded struct {
	ticket  uint64
	outcome provider.PutOutcome
}

// NewPutEnded returns a PutEnded event.
func NewPutEnded(ticket uint64, o provider.PutOutcome) PutEnded {
	return PutEnded{ticket: ticket, outcome: o}
}

// GetEnded is the result of a Get effect.
type GetEnded struct {
	ticket  uint64
	outcome provider.GetOutcome
}

// NewGetEnded returns a GetEnded event.
func NewGetEnded(ticket uint64, o provider.GetOutcome) GetEnded {
	return GetEnded{ticket: ticket, outcome: o}
}

// ListEnded is the result of a List effect.
type ListEnded struct{ outcome provider.ListOutcome }

// NewListEnded returns a ListEnded event.
func NewListEnded(o provider.ListOutcome) ListEnded { return ListEnded{outcome: o} }

// HeartbeatEnded is the result of a Heartbeat effect.
type HeartbeatEnded struct {
	peer   string
	sent   time.Time
	ok     bool
	digest peer.Digest
}

// NewHeartbeatEnded returns a HeartbeatEnded event. Sent is the time right before the heartbeat was sent. The digest is
// that of the other entry VM and is used only if ok.
func NewHeartbeatEnded(id string, sent time.Time, ok bool, d peer.Digest) HeartbeatEnded {
	return HeartbeatEnded{peer: id, sent: sent, ok: ok, digest: d}
}

// HeartbeatReceived is a heartbeat from another entry VM.
type HeartbeatReceived struct {
	ticket uint64
	digest peer.Digest
}

// NewHeartbeatReceived returns a HeartbeatReceived event. It is answered by a HeartbeatReply effect with the ticket.
func NewHeartbeatReceived(ticket uint64, d peer.Digest) HeartbeatReceived {
	return HeartbeatReceived{ticket: ticket, digest: d}
}

// ForwardEnded is the result of a Forward effect.
type ForwardEnded struct {
	peer    string
	id      string
	outcome peer.ForwardOutcome
}

// NewForwardEnded returns a ForwardEnded event.
func NewForwardEnded(to, id string, o peer.ForwardOutcome) ForwardEnded {
	return ForwardEnded{peer: to, id: id, outcome: o}
}

// PushReceived is a configuration change that another entry VM pushed.
type PushReceived struct {
	ticket uint64
	change peer.Change
}

// NewPushReceived returns a PushReceived event. A ChangeStatus with the configuration version held afterwards is
// replied to the ticket.
func NewPushReceived(ticket uint64, c peer.Change) PushReceived {
	return PushReceived{ticket: ticket, change: c}
}

// PushEnded is the result of a Push effect.
type PushEnded struct {
	peer    string
	version uint64
	ok      bool
}

// NewPushEnded returns a PushEnded event. Version is the configuration version that the other entry VM holds, used only
// if ok.
func NewPushEnded(id string, version uint64, ok bool) PushEnded {
	return PushEnded{peer: id, version: version, ok: ok}
}

// ChangeRequested is an operator's request for a configuration change.
type ChangeRequested struct {
	ticket uint64
	change Change
	author string
}

// NewChangeRequested returns a ChangeRequested event. The outcome is replied to the ticket.
func NewChangeRequested(ticket uint64, c Change, author string) ChangeRequested {
	return ChangeRequested{ticket: ticket, change: c, author: author}
}

// ChangeQueried queries the status of a configuration version.
type ChangeQueried struct {
	ticket  uint64
	version uint64
}

// NewChangeQueried returns a ChangeQueried event. A ChangeStatus or Rejected outcome is replied to the ticket.
func NewChangeQueried(ticket, version uint64) ChangeQueried {
	return ChangeQueried{ticket: ticket, version: version}
}

// Tick is the periodic event for work that depends on time alone. It is sent every TickInterval.
type Tick struct{}

// DrainRequested starts a planned stop of the entry VM: it accepts no new work and hands over the work that it holds.
type DrainRequested struct{}

// Change is a configuration change that an operator requests: CatalogueChange, KeyGrant, KeyRevocation, ZoneChange or
// VMChange.
type Change interface{ change() }

// CatalogueChange replaces the catalogue.
type CatalogueChange struct {
	catalogue *catalogue.Catalogue
	base      uint64
}

// NewCatalogueChange returns a change that is rejected unless the configuration version is base.
func NewCatalogueChange(c *catalogue.Catalogue, base uint64) CatalogueChange {
	return CatalogueChange{catalogue: c, base: base}
}

// KeyGrant adds a key.
type KeyGrant struct{ key catalogue.Key }

// NewKeyGrant returns a KeyGrant.
func NewKeyGrant(k catalogue.Key) KeyGrant { return KeyGrant{key: k} }

// KeyRevocation revokes a key.
type KeyRevocation struct{ id string }

// NewKeyRevocation returns a KeyRevocation.
func NewKeyRevocation(id string) KeyRevocation { return KeyRevocation{id: id} }

// ZoneChange takes an availability zone out of service or returns it to service.
type ZoneChange struct {
	zone  string
	out   bool
	force bool
}

// NewZoneChange returns a ZoneChange. If out is false, the zone returns to service. Force overrides the availability
// budgets.
func NewZoneChange(zone string, out, force bool) ZoneChange {
	return ZoneChange{zone: zone, out: out, force: force}
}

// VMChange takes a VM out of service, returns it to service or moves it to another pool.
type VMChange struct {
	vm     string
	out    bool
	pool   string
	reason string
	force  bool
}

// NewVMChange returns a VMChange. If out is false, the VM is in service after it. An empty pool keeps the VM in its
// pool. Force overrides the availability budget.
func NewVMChange(vm string, out bool, pool, reason string, force bool) VMChange {
	return VMChange{vm: vm, out: out, pool: pool, reason: reason, force: force}
}

func (CatalogueChange) change() {}
func (KeyGrant) change()        {}
func (KeyRevocation) change()   {}
func (ZoneChange) change()      {}
func (VMChange) change()        {}

func (Submitted) event()         {}
func (Cancelled) event()         {}
func (RunEnded) event()          {}
func (CloseEnded) event()        {}
func (SignalEnded) event()       {}
func (AcquireEnded) event()      {}
func (ReportEnded) event()       {}
func (ReleaseEnded) event()      {}
func (CommitEnded) event()       {}
func (ScanEnded) event()         {}
func (PutEnded) event()          {}
func (GetEnded) event()          {}
func (ListEnded) event()         {}
func (HeartbeatEnded) event()    {}
func (HeartbeatReceived) event() {}
func (ForwardEnded) event()      {}
func (PushReceived) event()      {}
func (PushEnded) event()         {}
func (ChangeRequested) event()   {}
func (ChangeQueried) event()     {}
func (Tick) event()              {}
func (DrainRequested) event()    {}
