package relay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/socket"
	"github.com/pistachiolead/pistachiolead/timer"
)

// errSilent is the reason why a relay that sends nothing counts as lost.
var errSilent = errors.New("the relay sent nothing in time")

// session is the leader's connection to one relay.
type session struct {
	pool  *Pool
	relay Member
	conn  net.Conn
	ready chan struct{} // signals that there are requests to send
	alive atomic.Bool   // bytes were received since the last check

	mu         sync.Mutex
	requests   []queuedRequest
	queued     int                       // size of requests, in bytes
	pending    map[uint64]pendingRequest // without an outcome, by request id
	lastID     uint64
	relayClock time.Time // in the last frame that was received
	receivedAt time.Time // when that frame was received, by the leader's clock
	closed     bool
	unused     bool // closed because the relay isn't needed
}

// pendingRequest is a request without an outcome.
type pendingRequest struct {
	effect fleet.Effect
	due    time.Time // when it ends without an outcome
}

type queuedRequest struct {
	wire       wireRequest
	validUntil time.Time // by the leader's clock
}

// connect connects to a relay. The relay is usable once it has sent its clock.
func (p *Pool) connect(ctx context.Context, m Member) (*session, *bufio.Reader, error) {
	conn, err := socket.NewDialer(dialTimeout, userTimeout).DialContext(ctx, "tcp4", m.address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "connect to a relay")
	}
	s := &session{
		pool: p, relay: m, conn: conn, ready: make(chan struct{}, 1), pending: make(map[uint64]pendingRequest),
		receivedAt: p.Clock.Now(),
	}
	return s, bufio.NewReader(observedReader{conn: conn, received: func() { s.alive.Store(true) }}), nil
}

// run sends requests and receives outcomes until the connection fails or the relay is silent. It returns why.
func (s *session) run(ctx context.Context, r *bufio.Reader) error {
	goroutines, ctx := group.New(ctx)
	goroutines.Go(func() error {
		<-ctx.Done()
		return s.conn.Close()
	})
	goroutines.Go(func() error { return s.watch(ctx) })
	goroutines.Go(func() error { return s.write(ctx) })
	goroutines.Go(func() error { return s.read(r) })
	return goroutines.Wait()
}

// watch ends overdue requests, and returns errSilent once the relay has sent nothing for sessionTimeout. It doesn't use the connection, so that it never
// waits for the relay. Checks are counted, so that time in which this process didn't run isn't taken for silence.
func (s *session) watch(ctx context.Context) error {
	for silent := time.Duration(0); silent < sessionTimeout; {
		timer.Wait(ctx, s.pool.Clock, heartbeatInterval)
		if err := ctx.Err(); err != nil {
			return errors.WithStack(err)
		}
		s.endOverdue()
		silent += heartbeatInterval
		if s.alive.Swap(false) {
			silent = 0
		}
	}
	return errSilent
}

// send queues a request. It reports false if the session is closed, or if the relay doesn't keep up with the requests.
func (s *session) send(e fleet.Effect) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.queued >= maxQueuedBytes {
		return false
	}
	s.lastID++
	w, validUntil, ok := encodeRequest(s.lastID, e)
	if !ok {
		return false
	}
	s.pending[s.lastID] = pendingRequest{effect: e, due: s.pool.Clock.Now().Add(outcomeTime(e))}
	s.requests = append(s.requests, queuedRequest{wire: w, validUntil: validUntil})
	s.queued += w.size()
	return true
}

// outcomeTime returns the time after which a request ends without an outcome.
func outcomeTime(e fleet.Effect) time.Duration {
	if poll, ok := e.(fleet.Poll); ok {
		return outcomeTimeout + poll.Request.MaxWait
	}
	return outcomeTimeout
}

// flush starts to send the queued requests.
func (s *session) flush() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// endOverdue ends the requests whose outcome is overdue. The servers of such polls are reached another way.
func (s *session) endOverdue() {
	events, unresponsive := s.takeOverdue()
	if len(unresponsive) > 0 {
		s.pool.avoid(s.relay.name, unresponsive)
	}
	if len(events) > 0 {
		s.pool.Post(events)
	}
}

// takeOverdue returns the events for the requests whose outcome is overdue, and the servers of the polls among them.
func (s *session) takeOverdue() (events []fleet.Event, unresponsive []string) {
	now := s.pool.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.pending {
		if now.Before(r.due) {
			continue
		}
		delete(s.pending, id)
		if poll, ok := r.effect.(fleet.Poll); ok {
			unresponsive = append(unresponsive, poll.Target.ID)
		}
		events = append(events, outcomeEvent(r.effect, backend.OutcomeUnknown{Reason: "no outcome from the relay in time"}))
	}
	return events, unresponsive
}

// write sends the queued requests in batches, and an empty frame every heartbeatInterval.
func (s *session) write(ctx context.Context) error {
	heartbeat := s.pool.Clock.Every(heartbeatInterval, func(time.Time) { s.flush() })
	defer heartbeat.Stop()
	for {
		f, more := s.takeFrame()
		if err := writeFrame(s.conn, f); err != nil {
			return err
		}
		if more {
			continue
		}
		timer.Wait(ctx, s.pool.Clock, batchDelay)
		select {
		case <-s.ready:
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}

// takeFrame returns a frame with the first of the queued requests, and whether there are more. The time until which a start
// request is valid is converted to the relay's clock: its last frame was sent before it was received, so the request expires too
// early rather than too late.
func (s *session) takeFrame() (f wireFrame, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f = wireFrame{ClockMS: s.pool.Clock.Now().UnixMilli(), Requests: make([]wireRequest, 0, min(len(s.requests), batchBytes/messageBytes))}
	size, taken := 0, 0
	for taken < len(s.requests) && size < batchBytes {
		q := &s.requests[taken]
		taken++
		s.queued -= q.wire.size()
		if _, pending := s.pending[q.wire.ID]; !pending {
			continue // it is overdue
		}
		size += q.wire.size()
		if q.wire.Kind == startRequest {
			q.wire.ValidUntilMS = s.relayClock.Add(q.validUntil.Sub(s.receivedAt) - clockMargin).UnixMilli()
		}
		f.Requests = append(f.Requests, q.wire)
	}
	s.requests = s.requests[taken:]
	if len(s.requests) == 0 {
		s.requests = nil
	}
	return f, len(s.requests) > 0
}

// read receives frames and posts their outcomes.
func (s *session) read(r *bufio.Reader) error {
	for {
		f, err := readFrame(r)
		if err != nil {
			return err
		}
		if events := s.received(f); len(events) > 0 {
			s.pool.Post(events)
		}
	}
}

// received records a frame and returns the events for its outcomes.
func (s *session) received(f wireFrame) []fleet.Event {
	events, unresponsive := s.takeOutcomes(f)
	if len(unresponsive) > 0 {
		s.pool.avoid(s.relay.name, unresponsive)
	}
	return events
}

// takeOutcomes returns the events for the outcomes of a frame, and the servers that didn't respond to a poll.
func (s *session) takeOutcomes(f wireFrame) (events []fleet.Event, unresponsive []string) {
	now := s.pool.Clock.Now()
	events = make([]fleet.Event, 0, len(f.Outcomes))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayClock, s.receivedAt = time.UnixMilli(f.ClockMS), now
	for _, o := range f.Outcomes {
		r, known := s.pending[o.ID]
		if !known {
			continue
		}
		e := r.effect
		delete(s.pending, o.ID)
		outcome := o.decode()
		_, unknown := outcome.(backend.OutcomeUnknown)
		if poll, ok := e.(fleet.Poll); ok && unknown {
			unresponsive = append(unresponsive, poll.Target.ID)
		}
		events = append(events, outcomeEvent(e, outcome))
	}
	return events, unresponsive
}

// closeIfUnused closes the connection if no request awaits an outcome.
func (s *session) closeIfUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		s.unused = true
		_ = s.conn.Close() // the reader gets the error, which ends the session
	}
}

// close ends the session and returns the requests without an outcome, and whether the relay wasn't needed any more.
func (s *session) close() (lost []fleet.Effect, unused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	lost = make([]fleet.Effect, 0, len(s.pending))
	for _, r := range s.pending {
		lost = append(lost, r.effect)
	}
	s.pending = nil
	return lost, s.unused
}

// runSession connects to a relay and uses it until it is lost or not needed. It reports whether the relay is lost.
func (p *Pool) runSession(ctx context.Context, m Member) bool {
	s, r, err := p.connect(ctx, m)
	if err != nil {
		klog.InfoS("Failed to connect to relay", "relay", m.name, "address", m.address, "error", err.Error())
		return true
	}
	f, err := s.handshake(r)
	if err != nil {
		klog.InfoS("Relay didn't answer", "relay", m.name, "address", m.address, "error", err.Error())
		_ = s.conn.Close() // nothing was sent on it
		return true
	}
	s.received(f)
	p.addSession(s)
	klog.InfoS("Connected to relay", "relay", m.name, "address", m.address)
	err = s.run(ctx, r)
	p.removeSession(s)
	lost, unused := s.close()
	klog.InfoS("Lost relay", "relay", m.name, "reason", err.Error(), "requests", len(lost))
	if ctx.Err() == nil {
		p.recover(lost)
	}
	return !unused
}

// handshake waits for the first frame of the relay.
func (s *session) handshake(r *bufio.Reader) (wireFrame, error) {
	timeout := s.pool.Clock.After(sessionTimeout, func(time.Time) {
		_ = s.conn.Close() // the reader gets the error
	})
	defer timeout.Stop()
	return readFrame(r)
}

// recover handles the requests of a lost relay that have no outcome. Polls may be repeated. All other requests may have
// been carried out.
func (p *Pool) recover(lost []fleet.Effect) {
	var events []fleet.Event
	for _, e := range lost {
		if _, poll := e.(fleet.Poll); poll {
			p.SendDirectly(e)
			continue
		}
		events = append(events, outcomeEvent(e, backend.OutcomeUnknown{Reason: "the relay was lost"}))
	}
	if len(events) > 0 {
		p.Post(events)
	}
}
