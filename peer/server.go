package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/requestbody"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Server serves the protocol to the peers of an entry VM: it authenticates them, decodes their messages and passes
// these to Handler or Table.
type Server struct {
	// Handler processes heartbeats, forwarded requests and pushed changes.
	Handler Handler
	// Table is the platform's table, for peers that can't reach it. It must access the platform directly, never through
	// the relay of another peer, so that relayed operations can't loop. Without it the server relays nothing.
	Table provider.Table
	// Secret must be sent by every peer. If it is empty, the server accepts only peers on the loopback interface.
	Secret string
	// Bodies bounds the memory for messages that arrive. It may be nil, for a budget of its own.
	Bodies *requestbody.Budget
	// Clock defaults to the system clock.
	Clock timer.Clock
	// Scope receives the metrics of the server. Without it they are discarded.
	Scope tally.Scope

	once    sync.Once
	metrics serverMetrics

	mu      sync.Mutex
	members map[string]*digestState
}

// digestState is the state of the digests exchanged with one member.
type digestState struct {
	encoder     DigestEncoder
	decoder     DigestDecoder
	lastContact time.Time
}

// HTTPHandler returns the handler for all paths of the protocol, which start with /twirp/.
func (s *Server) HTTPHandler() http.Handler {
	s.once.Do(func() {
		if s.Clock == nil {
			s.Clock = timer.System{}
		}
		if s.Bodies == nil {
			s.Bodies = &requestbody.Budget{}
		}
		s.metrics = newServerMetrics(s.Scope)
		s.members = make(map[string]*digestState)
	})
	service := peerwire.NewPeerServer(rpcService{server: s}, twirp.WithServerInterceptors(releaseDecoded))
	secretHash := sha256.Sum256([]byte(s.Secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.authorized(r, secretHash) {
			s.metrics.unauthorized.Inc(1)
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated,
				"the peer secret is missing or wrong, or no secret is set and the peer isn't on the loopback interface"))
			return
		}
		// Leaves out the header Date, which the client ignores.
		w.Header()["Date"] = nil
		r, reservation, ok := s.receiveBody(w, r)
		if !ok {
			return
		}
		defer reservation.Release()
		service.ServeHTTP(w, r)
	})
}

// TrackedMembers returns the number of members whose digests the server keeps, which maxTrackedMembers bounds.
func (s *Server) TrackedMembers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members)
}

func (s *Server) authorized(r *http.Request, secretHash [sha256.Size]byte) bool {
	if s.Secret == "" {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		return err == nil && net.ParseIP(host).IsLoopback()
	}
	// ConstantTimeCompare would reveal the length of the secret, but hashes have equal lengths.
	got := sha256.Sum256([]byte(r.Header.Get(SecretHeader)))
	return subtle.ConstantTimeCompare(got[:], secretHash[:]) == 1
}

// decode returns the peer's digest with its load in full. It returns false if w is a delta whose base the server
// doesn't have, or arrives after a later digest.
func (s *Server) decode(w *peerwire.Digest) (Digest, bool) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[w.GetMember()]
	if m == nil {
		s.evictOldestMember()
		m = &digestState{}
		s.members[w.GetMember()] = m
	}
	s.metrics.members.Update(float64(len(s.members)))
	m.lastContact = now
	return m.decoder.Decode(w)
}

// evictOldestMember removes the member whose last contact is the oldest if maxTrackedMembers are tracked. If several
// are equally old, it removes the one with the lowest id.
func (s *Server) evictOldestMember() {
	if len(s.members) < maxTrackedMembers {
		return
	}
	oldest := ""
	for k, m := range s.members {
		o := s.members[oldest]
		if o == nil || m.lastContact.Before(o.lastContact) || (m.lastContact.Equal(o.lastContact) && k < oldest) {
			oldest = k
		}
	}
	delete(s.members, oldest)
}

// encode returns the reply to the heartbeat w: the digest own, and the acknowledgement of the last digest decoded from
// the peer.
func (s *Server) encode(own Digest, w *peerwire.Digest) *peerwire.Digest {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[w.GetMember()]
	if m == nil {
		m = &digestState{lastContact: now}
		s.members[w.GetMember()] = m
	}
	return withAcknowledgedPosition(m.encoder.Encode(own, acknowledgedPosition(w), now), m.decoder.LastDecoded())
}

// rpcService implements the generated interface. It is a type of its own because the names of these methods would
// clash with those of the users of Server.
type rpcService struct{ server *Server }

var _ peerwire.Peer = rpcService{}

func (s rpcService) Heartbeat(ctx context.Context, w *peerwire.Digest) (*peerwire.Digest, error) {
	s.server.metrics.heartbeats.Inc(1)
	d, ok := s.server.decode(w)
	if !ok {
		s.server.metrics.refused.Inc(1)
		return nil, twirp.NewError(twirp.FailedPrecondition,
			"decode heartbeat: the delta doesn't match the last digest decoded from the peer")
	}
	return s.server.encode(s.server.Handler.Heartbeat(ctx, d), w), nil
}

func (s rpcService) Forward(ctx context.Context, w *peerwire.ForwardRequest) (*peerwire.ForwardReply, error) {
	s.server.metrics.forwards.Inc(1)
	r := requestFromWire(w)
	if r.hops > MaxHops {
		return forwardReplyToWire(r, NewNotRun(codeTooManyHops, "the request was forwarded more than once", 0)), nil
	}
	reply := forwardReplyToWire(r, s.server.Handler.Forward(ctx, r))
	if proto.Size(reply) > MaxMessageBytes {
		return forwardReplyToWire(r, NewOutcomeUnknown("the answer exceeds the limit of 8 MiB for a forward reply")), nil
	}
	return reply, nil
}

func (s rpcService) Apply(ctx context.Context, w *peerwire.Change) (*peerwire.Ack, error) {
	c, ok := changeFromWire(w)
	if !ok {
		return nil, twirp.InvalidArgumentError("change",
			"is of an unknown type, allowed are configuration, take_out and revocation")
	}
	return &peerwire.Ack{Version: s.server.Handler.Apply(ctx, c)}, nil
}

func (s rpcService) Scan(ctx context.Context, w *peerwire.ScanRequest) (*peerwire.ScanReply, error) {
	if s.server.Table == nil {
		return unavailableScan("the peer relays no access to the platform's table"), nil
	}
	s.server.metrics.relayed.Inc(1)
	reply := scanToWire(s.server.Table.Scan(ctx, w.GetPrefix(), w.GetSince()))
	if proto.Size(reply) > MaxMessageBytes {
		return unavailableScan("the rows exceed the limit of 8 MiB for a relayed scan"), nil
	}
	return reply, nil
}

func (s rpcService) Commit(ctx context.Context, w *peerwire.CommitRequest) (*peerwire.CommitReply, error) {
	if s.server.Table == nil {
		return commitToWire(provider.NewUnavailable("the peer relays no access to the platform's table")), nil
	}
	s.server.metrics.relayed.Inc(1)
	return commitToWire(s.server.Table.Commit(ctx, transactionFromWire(w))), nil
}
