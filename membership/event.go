package membership

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Event is an input of State.Handle: VMsListed, HeartbeatEnded, HeartbeatReceived, PeerDraining, MemberRows, Tick or
// DrainRequested.
type Event interface{ event() }

// VMsListed has the VMs of a successful read of the platform's VM list.
type VMsListed struct{ vms []provider.VM }

// NewVMsListed returns a VMsListed event.
func NewVMsListed(vms []provider.VM) VMsListed { return VMsListed{vms: vms} }

// VMs returns all VMs of the list, backend servers included.
func (e VMsListed) VMs() []provider.VM { return e.vms }

// HeartbeatEnded is the result of a SendHeartbeat effect. It isn't ok if the reply came from an entry VM with
// another id, which may have taken over the address.
type HeartbeatEnded struct {
	peer string
	ok   bool
	sent time.Time
}

// NewHeartbeatEnded returns a HeartbeatEnded event for a heartbeat sent at sent.
func NewHeartbeatEnded(peer string, ok bool, sent time.Time) HeartbeatEnded {
	return HeartbeatEnded{peer: peer, ok: ok, sent: sent}
}

// Peer returns the id of the peer.
func (e HeartbeatEnded) Peer() string { return e.peer }

// OK reports whether the peer replied.
func (e HeartbeatEnded) OK() bool { return e.ok }

// Sent returns when the heartbeat was sent.
func (e HeartbeatEnded) Sent() time.Time { return e.sent }

// HeartbeatReceived means that a peer has sent a heartbeat to this entry VM.
type HeartbeatReceived struct{ peer string }

// NewHeartbeatReceived returns a HeartbeatReceived event.
func NewHeartbeatReceived(peer string) HeartbeatReceived { return HeartbeatReceived{peer: peer} }

// Peer returns the id of the peer.
func (e HeartbeatReceived) Peer() string { return e.peer }

// PeerDraining means that a peer has announced its planned stop. It arrives before the VM list shows the peer as
// leaving, and the peer counts as leaving until its state is deleted.
type PeerDraining struct{ peer string }

// NewPeerDraining returns a PeerDraining event.
func NewPeerDraining(peer string) PeerDraining { return PeerDraining{peer: peer} }

// Peer returns the id of the peer.
func (e PeerDraining) Peer() string { return e.peer }

// MemberRows has the ids of the rows member/<id> that a read of the table returned.
type MemberRows struct{ ids []string }

// NewMemberRows returns a MemberRows event.
func NewMemberRows(ids []string) MemberRows { return MemberRows{ids: ids} }

// IDs returns the ids of the entry VMs that have a row.
func (e MemberRows) IDs() []string { return e.ids }

// Tick triggers the work that depends on the time. It must be sent several times a second.
type Tick struct{}

// NewTick returns a Tick event.
func NewTick() Tick { return Tick{} }

// DrainRequested means that this entry VM is about to stop: it no longer starts work or commits
// configuration, and its row is deleted.
type DrainRequested struct{}

// NewDrainRequested returns a DrainRequested event.
func NewDrainRequested() DrainRequested { return DrainRequested{} }

func (VMsListed) event()         {}
func (HeartbeatEnded) event()    {}
func (HeartbeatReceived) event() {}
func (PeerDraining) event()      {}
func (MemberRows) event()        {}
func (Tick) event()              {}
func (DrainRequested) event()    {}
