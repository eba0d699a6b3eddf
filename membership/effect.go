package membership

// Effect is an output of State.Handle: SendHeartbeat, PeerUp, PeerDown, WriteMemberRow or DeleteMemberRow.
type Effect interface{ effect() }

// SendHeartbeat requests that a heartbeat is sent to a peer. The caller reports its result with HeartbeatEnded.
type SendHeartbeat struct{ peer string }

// NewSendHeartbeat returns a SendHeartbeat effect.
func NewSendHeartbeat(peer string) SendHeartbeat { return SendHeartbeat{peer: peer} }

// Peer returns the id of the peer.
func (e SendHeartbeat) Peer() string { return e.peer }

// PeerUp means that a peer has become live.
type PeerUp struct{ peer string }

// NewPeerUp returns a PeerUp effect.
func NewPeerUp(peer string) PeerUp { return PeerUp{peer: peer} }

// Peer returns the id of the peer.
func (e PeerUp) Peer() string { return e.peer }

// PeerDown means that a peer is no longer live.
type PeerDown struct{ peer string }

// NewPeerDown returns a PeerDown effect.
func NewPeerDown(peer string) PeerDown { return PeerDown{peer: peer} }

// Peer returns the id of the peer.
func (e PeerDown) Peer() string { return e.peer }

// WriteMemberRow requests that the row member/<id> of this entry VM is written.
type WriteMemberRow struct{ id string }

// NewWriteMemberRow returns a WriteMemberRow effect.
func NewWriteMemberRow(id string) WriteMemberRow { return WriteMemberRow{id: id} }

// ID returns the id of this entry VM.
func (e WriteMemberRow) ID() string { return e.id }

// DeleteMemberRow requests that the row member/<id> is deleted. Several entry VMs may request the deletion of the
// same row.
type DeleteMemberRow struct{ id string }

// NewDeleteMemberRow returns a DeleteMemberRow effect.
func NewDeleteMemberRow(id string) DeleteMemberRow { return DeleteMemberRow{id: id} }

// ID returns the id of the entry VM whose row is deleted.
func (e DeleteMemberRow) ID() string { return e.id }

func (SendHeartbeat) effect()   {}
func (PeerUp) effect()          {}
func (PeerDown) effect()        {}
func (WriteMemberRow) effect()  {}
func (DeleteMemberRow) effect() {}
