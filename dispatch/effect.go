package dispatch

import (
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Effect is something to be done outside the control state: one of the types of this file.
type Effect interface{ effect() }

// Run starts a task on a backend server, or joins it, and waits for its answer. RunEnded follows.
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

// Delay returns how long to wait before the request is sent.
func (r Run) Delay() time.Duration { return r.delay }

// Deadline returns when to stop waiting, zero if never.
func (r Run) Deadline() time.Time { return r.deadline }

// Close asks a backend server to make sure that an attempt never starts. CloseEnded follows.
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

// Signal sends a signal to a running task. SignalEnded follows.
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

// Attempt returns the attempt.
func (s Signal) Attempt() int { return s.attempt }

// Signal returns the signal.
func (s Signal) Signal() provider.Signal { return s.signal }

// Acquire asks a backend server for its lease. AcquireEnded follows.
type Acquire struct{ server string }

// Server returns the id of the backend server.
func (a Acquire) Server() string { return a.server }

// Report renews the lease of a backend server. ReportEnded follows.
type Report struct {
	server string
	epoch  uint64
}

// Server returns the id of the backend server.
func (r Report) Server() string { return r.server }

// Epoch returns the epoch of the lease.
func (r Report) Epoch() uint64 { return r.epoch }

// Release ends the lease of a backend server. ReleaseEnded follows.
type Release struct {
	server string
	epoch  uint64
}

// Server returns the id of the backend server.
func (r Release) Server() string { return r.server }

// Epoch returns the epoch of the lease.
func (r Release) Epoch() uint64 { return r.epoch }

// Urgency orders transactions before the table.
type Urgency uint8

// Urgencies of transactions.
const (
	// UrgencyHigh is for configuration changes and claims.
	UrgencyHigh Urgency = iota + 1
	// UrgencyLow is for records of jobs and answers.
	UrgencyLow
)

// Commit hands a transaction to the group commit. CommitEnded follows.
type Commit struct {
	ticket      uint64
	transaction provider.Transaction
	urgency     Urgency
	deadline    time.Time
}

// Ticket returns the number that CommitEnded carries.
func (c Commit) Ticket() uint64 { return c.ticket }

// Transaction returns the transaction.
func (c Commit) Transaction() provider.Transaction { return c.transaction }

// Urgency returns its place in the queue of the group commit.
func (c Commit) Urgency() Urgency { return c.urgency }

// Deadline returns when to give up if the transaction certainly wasn't applied, zero if never.
func (c Commit) Deadline() time.Time { return c.deadline }

// Scan reads rows of the table. ScanEnded follows.
type Scan struct {
	ticket uint64
	prefix string
	since  uint64
}

// Ticket returns the number that ScanEnded carries.
func (s Scan) Ticket() uint64 { return s.ticket }

// Prefix returns the prefix of the keys.
func (s Scan) Prefix() string { return s.prefix }

// Since returns the table version after which rows are of interest.
func (s Scan) Since() uint64 { return s.since }

// Put stores an object. PutEnded follows.
type Put struct {
	ticket uint64
	name   string
	data   []byte
}

// Ticket returns the number that PutEnded carries.
func (p Put) Ticket() uint64 { return p.ticket }

// Name returns the object's name.
func (p Put) Name() string { return p.name }

// Data returns the object's content.
func (p Put) Data() []byte { return p.data }

// Get reads an object. GetEnded follows.
type Get struct {
	ticket uint64
	name   string
}

// Ticket returns the number that GetEnded carries.
func (g Get) Ticket() uint64 { return g.ticket }

// Name returns the object's name.
func (g Get) Name() string { return g.name }

// List reads the VM list. Listed follows.
type List struct{}

// Heartbeat sends a digest to another entry VM. HeartbeatEnded follows.
type Heartbeat struct {
	peer    string
	address string
	digest  peer.Digest
}

// Peer returns the id of the other entry VM.
func (h Heartbeat) Peer() string { return h.peer }

// Address returns host:port of the other entry VM.
func (h Heartbeat) Address() string { return h.address }

// Digest returns the digest to send.
func (h Heartbeat) Digest() peer.Digest { return h.digest }

// Forward sends a request to another entry VM. ForwardEnded follows.
type Forward struct {
	peer    string
	address string
	request Request
	attempt int
}

// Attempt returns the attempt, counted from 1.
func (f Forward) Attempt() int { return f.attempt }

// Peer returns the id of the other entry VM.
func (f Forward) Peer() string { return f.peer }

// Address returns host:port of the other entry VM.
func (f Forward) Address() string { return f.address }

// Request returns the request.
func (f Forward) Request() Request { return f.request }

// Push sends a configuration change to another entry VM. PushEnded follows.
type Push struct {
	peer    string
	address string
	change  peer.Change
}

// Peer returns the id of the other entry VM.
func (p Push) Peer() string { return p.peer }

// Address returns host:port of the other entry VM.
func (p Push) Address() string { return p.address }

// Change returns the change.
func (p Push) Change() peer.Change { return p.change }

// Reply answers the sender of an event that carried a ticket.
type Reply struct {
	ticket  uint64
	outcome Outcome
}

// Ticket returns the ticket.
func (r Reply) Ticket() uint64 { return r.ticket }

// Outcome returns what the sender is told.
func (r Reply) Outcome() Outcome { return r.outcome }

// Greet answers a heartbeat of another entry VM.
type Greet struct {
	ticket uint64
	digest peer.Digest
}

// Ticket returns the ticket of the heartbeat.
func (g Greet) Ticket() uint64 { return g.ticket }

// Digest returns the digest to answer with.
func (g Greet) Digest() peer.Digest { return g.digest }

// Publish makes a configuration visible to traffic.
type Publish struct{ configuration *catalogue.Configuration }

// Configuration returns the configuration.
func (p Publish) Configuration() *catalogue.Configuration { return p.configuration }

// Drained says that the entry VM holds nothing any more and may exit.
type Drained struct{}

func (Run) effect()       {}
func (Close) effect()     {}
func (Signal) effect()    {}
func (Acquire) effect()   {}
func (Report) effect()    {}
func (Release) effect()   {}
func (Commit) effect()    {}
func (Scan) effect()      {}
func (Put) effect()       {}
func (Get) effect()       {}
func (List) effect()      {}
func (Heartbeat) effect() {}
func (Forward) effect()   {}
func (Push) effect()      {}
func (Reply) effect()     {}
func (Greet) effect()     {}
func (Publish) effect()   {}
func (Drained) effect()   {}
