package relay

import (
	"bufio"
	"context"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/requestbody"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Sender sends requests to backend servers. platform.BackendClient is one.
type Sender interface {
	Poll(t backend.Target, r backend.PollRequest) backend.Outcome
	Start(t backend.Target, r backend.StartRequest) backend.Outcome
	Stop(t backend.Target, run backend.Run, token uint64) backend.Outcome
	Pace(t backend.Target, run backend.Run, percent int, token uint64) backend.Outcome
}

// Server sends requests to backend servers for leaders that connect to it. The exported fields are set before Run.
type Server struct {
	Listener net.Listener
	// Sender sends the requests.
	Sender Sender
	// Clock must also advance while the VM is suspended.
	Clock timer.Clock
	// Frames bounds the memory for frames that arrive. It may be nil, for that of NewFrameBudget.
	Frames *requestbody.Budget
	// Scope receives metrics. It may be nil.
	Scope tally.Scope

	requests, startedSessions, endedSessions tally.Counter
}

// Run serves until ctx ends. The error says why connections can't be accepted.
func (s *Server) Run(ctx context.Context) error {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	if s.Frames == nil {
		s.Frames = NewFrameBudget(s.Clock, s.Scope.SubScope("frames"))
	}
	s.requests = s.Scope.Counter("requests")
	s.startedSessions, s.endedSessions = s.Scope.Counter("started-sessions"), s.Scope.Counter("ended-sessions")
	goroutines, ctx := group.New(ctx)
	goroutines.Go(func() error {
		<-ctx.Done()
		return s.Listener.Close()
	})
	open := make(chan struct{}, maxSessions)
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept a leader's connection")
		}
		select {
		case open <- struct{}{}:
		default:
			_ = conn.Close() // the leader tries again after redialDelay
			continue
		}
		goroutines.Go(func() error {
			defer func() { <-open }()
			session := &leaderSession{server: s, conn: conn, ready: make(chan struct{}, 1), work: make(chan wireRequest), receivedAt: s.Clock.Now()}
			session.run(ctx)
			return nil
		})
	}
}

// leaderSession is the connection of one leader to a relay.
type leaderSession struct {
	server *Server
	conn   net.Conn
	ready  chan struct{}    // signals that there are outcomes
	work   chan wireRequest // to senders that are idle

	mu         sync.Mutex
	outcomes   []wireOutcome
	senders    int
	receivedAt time.Time // when bytes were last received
}

func (s *leaderSession) run(ctx context.Context) {
	klog.InfoS("Leader connected to this relay", "leader", s.conn.RemoteAddr().String())
	s.server.startedSessions.Inc(1)
	defer s.server.endedSessions.Inc(1)
	goroutines, ctx := group.New(ctx)
	goroutines.Go(func() error {
		<-ctx.Done()
		return s.conn.Close()
	})
	goroutines.Go(func() error { return s.write(ctx) })
	goroutines.Go(func() error { return s.read(ctx, goroutines) })
	klog.InfoS("Leader disconnected from this relay", "leader", s.conn.RemoteAddr().String(),
		"reason", goroutines.Wait().Error())
}

// read reads requests and hands them to senders.
func (s *leaderSession) read(ctx context.Context, goroutines *group.Group) error {
	r := bufio.NewReader(observedReader{conn: s.conn, received: s.recordReceived})
	for {
		requests, err := readRequests(s.conn, r, s.server.Frames)
		if err != nil {
			return err
		}
		s.server.requests.Inc(int64(len(requests)))
		for _, request := range requests {
			select {
			case s.work <- request:
			default:
				if !s.addSender() {
					s.addOutcome(encodeOutcome(request.ID, backend.Refused{Reason: backend.RefusedUnreachable}))
					continue
				}
				goroutines.Go(func() error { return s.runSender(ctx, request) })
			}
		}
	}
}

func (s *leaderSession) recordReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedAt = s.server.Clock.Now()
}

// addSender counts one more sender. It reports whether the limit allows it.
func (s *leaderSession) addSender() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.senders >= maxRelaySenders {
		return false
	}
	s.senders++
	return true
}

// runSender sends a request, and then others until the session ends.
func (s *leaderSession) runSender(ctx context.Context, request wireRequest) error {
	for {
		s.addOutcome(encodeOutcome(request.ID, s.send(request)))
		select {
		case request = <-s.work:
		case <-ctx.Done():
			return nil
		}
	}
}

// send sends a request to its backend server. A panic costs only this request.
func (s *leaderSession) send(w wireRequest) (outcome backend.Outcome) {
	defer func() {
		if r := recover(); r != nil {
			klog.ErrorS(nil, "Relayed request failed with a panic", "server", w.Server, "panic", r, "stack", string(debug.Stack()))
			outcome = backend.OutcomeUnknown{Reason: "panic at the relay"}
		}
	}()
	t := backend.Target{ID: w.Server, Address: w.Address}
	lease := time.Duration(w.LeaseExpiryMS) * time.Millisecond
	switch w.Kind {
	case pollRequest:
		return s.server.Sender.Poll(t, backend.PollRequest{
			LeaseExpiry: lease, Token: w.Token, AcknowledgedEnd: w.AcknowledgedEnd,
			MaxWait: time.Duration(w.MaxWaitMS) * time.Millisecond,
		})
	case startRequest:
		if s.server.Clock.Now().UnixMilli() >= w.ValidUntilMS {
			return backend.Refused{Reason: backend.RefusedExpired}
		}
		return s.server.Sender.Start(t, backend.StartRequest{
			Run: w.Run.decode(), Specification: w.Specification, LeaseExpiry: lease, Token: w.Token,
			Checkpoint: w.Checkpoint, Ticket: w.Ticket,
		})
	case stopRequest:
		return s.server.Sender.Stop(t, w.Run.decode(), w.Token)
	case paceRequest:
		return s.server.Sender.Pace(t, w.Run.decode(), w.Percent, w.Token)
	}
	return backend.Refused{Reason: backend.RefusedInvalid}
}

func (s *leaderSession) addOutcome(o wireOutcome) {
	s.mu.Lock()
	s.outcomes = append(s.outcomes, o)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// closeIfIdle closes the connection of a leader that is gone.
func (s *leaderSession) closeIfIdle(now time.Time) {
	s.mu.Lock()
	idle := now.Sub(s.receivedAt)
	s.mu.Unlock()
	if idle >= idleSessionTimeout {
		_ = s.conn.Close() // the reader gets the error, which ends the session
	}
}

// write sends the outcomes in batches, and an empty frame if there are none for heartbeatInterval.
func (s *leaderSession) write(ctx context.Context) error {
	heartbeat := s.server.Clock.Every(heartbeatInterval, func(now time.Time) {
		s.closeIfIdle(now)
		select {
		case s.ready <- struct{}{}:
		default:
		}
	})
	defer heartbeat.Stop()
	for {
		f, more := s.takeFrame()
		if err := writeFrame(s.conn, f); err != nil {
			return err
		}
		if more {
			continue
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
		timer.Wait(ctx, s.server.Clock, batchDelay)
	}
}

// takeFrame returns a frame with the first of the outcomes, and whether there are more.
func (s *leaderSession) takeFrame() (f wireFrame, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, taken := 0, 0
	for ; taken < len(s.outcomes) && size < batchBytes; taken++ {
		size += s.outcomes[taken].size()
	}
	f = wireFrame{ClockMS: s.server.Clock.Now().UnixMilli(), Outcomes: s.outcomes[:taken:taken]}
	s.outcomes = s.outcomes[taken:]
	if len(s.outcomes) == 0 {
		s.outcomes = nil
	}
	return f, len(s.outcomes) > 0
}
