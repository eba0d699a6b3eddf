package dispatch

import (
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Effect is an output of State.Handle, to be carried out by the package entry. It is one of the types in this file.
type Effect interface{ effect() }

// Run starts a task on a backend server, or attaches to the task if it is running already, and waits for its answer.
// RunEnded is the result.
type Run struct {
	server   string
	epoch    uint64
	task     provider.Task
	delay    time.Duration
	deadline time.Time
}

// Server returns the id of the backend server.
func (r Run) Server() string { return r.server }

// Epoch returns the epoch of the lease under which the task starts.
func (r Run) Epoch() uint64 { return r.epoch }

// Task returns the task.
func (r Run) Task() provider.Task { return r.task }

// Delay returns the delay before the request is sent.
func (r Run) Delay() time.Duration { return r.delay }

// Deadline returns the time at which to stop waiting for the answer, zero if there is none.
func (r Run) Deadline() time.Time { return r.deadline }

// Close prevents an attempt from starting on a backend server. If the attempt has started, the server returns its
// answer, or that it is still running. CloseEnded is the result.
type Close struct {
	server  string
	epoch   uint64
	id      string
	attempt int
}

// Server returns the id of the backend server.
func (c Close) Server() string { return c.server }

// Epoch returns the epoch of the lease.
func (c Close) Epoch() uint64 { return c.epoch }

// ID returns the request id.
func (c Close) ID() string { return c.id }

// Attempt returns the attempt to close.
func (c Close) Attempt() int { return c.attempt }

// Signal sends a signal to a running task. SignalEnded is the result.
type Signal struct {
	server  string
	epoch   uint64
	id      string
	attempt int
	signal  provider.Signal
}

// Server returns the id of the backend server.
func (s Signal) Server() string { return s.server }

// Epoch returns the epoch of the lease.
func (s Signal) Epoch() uint64 { return s.epoch }

// ID returns the request id.
func (s Signal) ID() string { return s.id }

// Attempt returns the attempt that is signalled.
func (s Signal) Attempt() int { return s.attempt }

// Signal returns the signal.
func (s Signal) Signal() provider.Signal { return s.signal }

// Acquire requests the lease of a backend server. AcquireEnded is the result.
type Acquire struct{ server string }

// Server returns the id of the backend server.
func (a Acquire) Server() string { return a.server }

// Report renews the lease of a backend server and reads its tasks. ReportEnded is the result.
type Report struct {
	server string
	epoch  uint64
}

// Server returns the id of the backend server.
func (r Report) Server() string { return r.server }

// Epoch returns the epoch of the lease.
func (r Report) Epoch() uint64 { return r.epoch }

// Release ends the lease of a backend server. ReleaseEnded is the result.
type Release struct {
	server string
	epoch  uint64
}

// Server returns the id of the backend server.
func (r Release) Server() string { return r.server }

// Epoch returns the epoch of the lease.
func (r Release) Epoch() uint64 { return r.epoch }

// Urgency is the priority of a transaction in the queue of the group commit.
type Urgency uint8

// Urgencies of transactions.
const (
	// UrgencyHigh is for configuration changes and claims.
	UrgencyHigh Urgency = iota + 1
	// UrgencyLow is for records of jobs and answers.
	UrgencyLow
)

// Commit passes a transaction to the group commit. CommitEnded is the result.
type Commit struct {
	ticket      uint64
	transaction provider.Transaction
	urgency     Urgency
	deadline    time.Time
}

// Ticket returns the number that identifies the CommitEnded event.
func (c Commit) Ticket() uint64 { return c.ticket }

// Transaction returns the transaction.
func (c Commit) Transaction() provider.Transaction { return c.transaction }

// Urgency returns the priority of the transaction in the group commit.
func (c Commit) Urgency() Urgency { return c.urgency }

// Deadline returns the time after which the commit is abandoned if the transaction certainly wasn't applied, zero if
// there is none.
func (c Commit) Deadline() time.Time { return c.deadline }

// Scan reads the table rows with a key prefix that changed after a table version. ScanEnded is the result.
type Scan struct {
	ticket uint64
	prefix string
	since  uint64
}

// Ticket returns the number that identifies the ScanEnded event.
func (s Scan) Ticket() uint64 { return s.ticket }

// Prefix returns the common prefix of the keys.
func (s Scan) Prefix() string { return s.prefix }

// Since returns the table version after which changed rows are read, 0 to read all.
func (s Scan) Since() uint64 { return s.since }

// Put stores an object in the object store. PutEnded is the result.
type Put struct {
	ticket uint64
	name   string
	data   []byte
}

// Ticket returns the number that identifies the PutEnded event.
func (p Put) Ticket() uint64 { return p.ticket }

// Name returns the object's name.
func (p Put) Name() string { return p.name }

// Data returns the object's content.
func (p Put) Data() []byte { return p.data }

// Get reads an object from the object store. GetEnded is the result.
type Get struct {
	ticket uint64
	name   string
}

// Ticket returns the number that identifies the GetEnded event.
func (g Get) Ticket() uint64 { return g.ticket }

// Name returns the object's name.
func (g Get) Name() string { return g.name }

// List reads the VM list of the platform. ListEnded is the result.
type List struct{}

// Heartbeat sends a digest to another entry VM. HeartbeatEnded is the result.
type Heartbeat struct {
	peer    string
	address string
	digest  peer.Digest
}

// Peer returns the id of the other entry VM.
func (h Heartbeat) Peer() string { return h.peer }

// Address returns the host:port of the other entry VM.
func (h Heartbeat) Address() string { return h.address }

// Digest returns the digest to send.
func (h Heartbeat) Digest() peer.Digest { return h.digest }

// Forward sends a request to another entry VM. ForwardEnded is the result.
type Forward struct {
	peer    string
	address string
	request Request
	attempt int
}

// Attempt returns the number of the request's attempt, counted from 1.
func (f Forward) Attempt() int { return f.attempt }

// Peer returns the id of the other entry VM.
func (f Forward) Peer() string { return f.peer }

// Address returns the host:port of the other entry VM.
func (f Forward) Address() string { return f.address }

// Request returns the request.
func (f Forward) Request() Request { return f.request }

// Push sends a configuration change to another entry VM. PushEnded is the result.
type Push struct {
	peer    string
	address string
	change  peer.Change
}

// Peer returns the id of the other entry VM.
func (p Push) Peer() string { return p.peer }

// Address returns the host:port of the other entry VM.
func (p Push) Address() string { return p.address }

// Change returns the change.
func (p Push) Change() peer.Change { return p.change }

// Reply returns an outcome to the sender of the event with the ticket.
type Reply struct {
	ticket  uint64
	outcome Outcome
}

// Ticket returns the ticket of the event.
func (r Reply) Ticket() uint64 { return r.ticket }

// Outcome returns the outcome for the sender.
func (r Reply) Outcome() Outcome { return r.outcome }

// HeartbeatReply is the reply to a heartbeat of another entry VM.
type HeartbeatReply struct {
	ticket uint64
	digest peer.Digest
}

// Ticket returns the ticket of the heartbeat.
func (r HeartbeatReply) Ticket() uint64 { return r.ticket }

// Digest returns the digest of this entry VM.
func (r HeartbeatReply) Digest() peer.Digest { return r.digest }

// ApplyConfiguration makes a configuration the one that the API uses, for example to check keys.
type ApplyConfiguration struct{ configuration *catalogue.Configuration }

// Configuration returns the configuration.
func (a ApplyConfiguration) Configuration() *catalogue.Configuration { return a.configuration }

// Drained reports that the planned stop is complete: the entry VM holds no work and no leases, and may exit.
type Drained struct{}

func (Run) effect()                {}
func (Close) effect()              {}
func (Signal) effect()             {}
func (Acquire) effect()            {}
func (Report) effect()             {}
func (Release) effect()            {}
func (Commit) effect()             {}
func (Scan) effect()               {}
func (Put) effect()                {}
func (Get) effect()                {}
func (List) effect()               {}
func (Heartbeat) effect()          {}
func (Forward) effect()            {}
func (Push) effect()               {}
func (Reply) effect()              {}
func (HeartbeatReply) effect()     {}
func (ApplyConfiguration) effect() {}
func (Drained) effect()            {}
