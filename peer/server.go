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
	"github.com/pistachiolead/pistachiolead/timer"
)

// Server serves the protocol to the peers of an entry VM.
type Server struct {
	// Handler handles the messages.
	Handler Handler
	// Table is the platform's table, for peers that can't reach it. It must be direct access to the platform, never
	// the relay of another peer, so that relayed operations can't circulate. Without it the relay is unavailable.
	Table provider.Table
	// Secret is required of every peer. If it is empty, only peers on the loopback interface are served.
	Secret string
	// Timer defaults to the system's.
	Timer timer.Clock
	// Scope receives counters, and defaults to none.
	Scope tally.Scope

	once    sync.Once
	metrics serverMetrics

	mu      sync.Mutex
	members map[string]*memberState
}

type memberState struct {
	encoder DigestEncoder
	decoder DigestDecoder
	seen    time.Time
}

// HTTPHandler returns the handler for all paths of the protocol, which start with /twirp/.
func (s *Server) HTTPHandler() http.Handler {
	s.once.Do(func() {
		if s.Timer == nil {
			s.Timer = timer.System{}
		}
		s.metrics = newServerMetrics(s.Scope)
		s.members = make(map[string]*memberState)
	})
	service := peerwire.NewPeerServer(service{server: s})
	want := sha256.Sum256([]byte(s.Secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.admits(r, want) {
			s.metrics.unauthorized.Inc(1)
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the peer secret is missing or wrong"))
			return
		}
		w.Header()["Date"] = nil
		r.Body = http.MaxBytesReader(w, r.Body, MaxMessageBytes)
		service.ServeHTTP(w, r)
	})
}

// Members returns the number of members whose digests the server keeps, which is bounded.
func (s *Server) Members() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members)
}

func (s *Server) admits(r *http.Request, want [sha256.Size]byte) bool {
	if s.Secret == "" {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		return err == nil && net.ParseIP(host).IsLoopback()
	}
	// Hashes have equal lengths, so that the comparison doesn't reveal the length of the secret.
	got := sha256.Sum256([]byte(r.Header.Get(SecretHeader)))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// decode returns the peer's whole digest, false if its base is missing.
func (s *Server) decode(w *peerwire.Digest) (Digest, bool) {
	now := s.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[w.GetMember()]
	if m == nil {
		s.evictMember()
		m = &memberState{}
		s.members[w.GetMember()] = m
	}
	s.metrics.members.Update(float64(len(s.members)))
	m.seen = now
	return m.decoder.Decode(w)
}

// evictMember makes room for one more member by removing the one not heard of for the longest time.
func (s *Server) evictMember() {
	if len(s.members) < maxTrackedMembers {
		return
	}
	oldest := ""
	for k, m := range s.members {
		o := s.members[oldest]
		if o == nil || m.seen.Before(o.seen) || (m.seen.Equal(o.seen) && k < oldest) {
			oldest = k
		}
	}
	delete(s.members, oldest)
}

func (s *Server) encode(own Digest, w *peerwire.Digest) *peerwire.Digest {
	now := s.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[w.GetMember()]
	if m == nil {
		m = &memberState{seen: now}
		s.members[w.GetMember()] = m
	}
	return withHeard(m.encoder.Encode(own, heardIn(w), now), m.decoder.Heard())
}

// service implements the generated interface, whose method names would clash with those of Server's users.
type service struct{ server *Server }

var _ peerwire.Peer = service{}

func (s service) Heartbeat(ctx context.Context, w *peerwire.Digest) (*peerwire.Digest, error) {
	s.server.metrics.heartbeats.Inc(1)
	d, ok := s.server.decode(w)
	if !ok {
		s.server.metrics.refused.Inc(1)
		return nil, twirp.NewError(twirp.FailedPrecondition, "the base of the digest is missing")
	}
	return s.server.encode(s.server.Handler.Heartbeat(ctx, d), w), nil
}

func (s service) Forward(ctx context.Context, w *peerwire.ForwardRequest) (*peerwire.ForwardReply, error) {
	s.server.metrics.forwards.Inc(1)
	r := requestFromWire(w)
	if r.hops > MaxHops {
		return replyToWire(r, NewNotRun(codeHops, "the request was forwarded too often", 0)), nil
	}
	reply := replyToWire(r, s.server.Handler.Forward(ctx, r))
	if proto.Size(reply) > MaxMessageBytes {
		return replyToWire(r, NewUnknown("the answer is too large to forward")), nil
	}
	return reply, nil
}

func (s service) Apply(ctx context.Context, w *peerwire.Change) (*peerwire.Ack, error) {
	c, ok := changeFromWire(w)
	if !ok {
		return nil, twirp.InvalidArgumentError("change", "is of an unknown type")
	}
	return &peerwire.Ack{Version: s.server.Handler.Apply(ctx, c)}, nil
}

func (s service) Scan(ctx context.Context, w *peerwire.ScanRequest) (*peerwire.ScanReply, error) {
	if s.server.Table == nil {
		return unavailableScan("no relay"), nil
	}
	s.server.metrics.relayed.Inc(1)
	reply := scanToWire(s.server.Table.Scan(ctx, w.GetPrefix(), w.GetSince()))
	if proto.Size(reply) > MaxMessageBytes {
		return unavailableScan("the rows are too large to relay"), nil
	}
	return reply, nil
}

func (s service) Commit(ctx context.Context, w *peerwire.CommitRequest) (*peerwire.CommitReply, error) {
	if s.server.Table == nil {
		return commitToWire(provider.NewUnavailable("no relay")), nil
	}
	s.server.metrics.relayed.Inc(1)
	return commitToWire(s.server.Table.Commit(ctx, transactionFromWire(w))), nil
}
