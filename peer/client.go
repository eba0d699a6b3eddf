package peer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/socket"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Client sends messages to one peer. It is safe for concurrent use, but sends only one heartbeat at a time.
type Client struct {
	// Address is the host:port of the peer.
	Address string
	// HTTP defaults to a client that ignores the proxy settings of the environment.
	HTTP *http.Client
	// Secret is sent to the peer, see Server.Secret.
	Secret string
	// Clock defaults to the system clock.
	Clock timer.Clock
	// Scope receives the counters of the client. Without it they are discarded.
	Scope tally.Scope

	once    sync.Once
	rpc     peerwire.Peer
	metrics clientMetrics

	heartbeatMu sync.Mutex
	encoder     DigestEncoder
	decoder     DigestDecoder
	// acknowledged is the position of the last digest that the peer acknowledged as decoded.
	acknowledged DigestPosition
}

// Heartbeat sends a digest and returns the peer's own digest. If the peer lacks the base of a delta, Heartbeat sends
// the full digest in a second attempt.
func (c *Client) Heartbeat(ctx context.Context, d Digest) HeartbeatOutcome {
	c.init()
	c.heartbeatMu.Lock()
	defer c.heartbeatMu.Unlock()

	reply, err := c.sendHeartbeat(ctx, d)
	var rejection twirp.Error
	if errors.As(err, &rejection) && rejection.Code() == twirp.FailedPrecondition {
		// The peer restarted or evicted the state of this member, so it lacks the base of the delta.
		c.encoder.Reset()
		c.metrics.resent.Inc(1)
		reply, err = c.sendHeartbeat(ctx, d)
	}
	if err != nil {
		if c.undelivered(err) {
			return NewUnreachable(err.Error())
		}
		return NewOutcomeUnknown(err.Error())
	}

	c.acknowledged = acknowledgedPosition(reply)
	digest, ok := c.decoder.Decode(reply)
	if !ok {
		return NewOutcomeUnknown("decode heartbeat reply: the delta doesn't match the last digest decoded from the peer")
	}
	return NewHeartbeatReply(digest)
}

// Forward sends a request to the peer, which runs it. The caller must check an answer with Answered.Intact. Forward
// returns NotRun without sending anything if the request has been forwarded MaxHops times, its deadline has passed or
// it is larger than MaxMessageBytes.
func (c *Client) Forward(ctx context.Context, r Request) ForwardOutcome {
	c.init()
	if r.hops >= MaxHops {
		return NewNotRun(codeTooManyHops, "the request was already forwarded, and may be forwarded only once", 0)
	}
	if r.remaining < 0 {
		return NewNotRun(codeDeadlineExceeded, "the deadline has passed", 0)
	}
	r.hops++
	w := requestToWire(r)
	if proto.Size(w) > MaxMessageBytes {
		return NewNotRun(codeTooLarge, "the request exceeds the limit of 8 MiB for forwarding", 0)
	}
	c.metrics.forwards.Inc(1)
	reply, err := c.rpc.Forward(ctx, w)
	if err != nil {
		if c.undelivered(err) {
			return NewUnreachable(err.Error())
		}
		return NewOutcomeUnknown(err.Error())
	}
	if reply.GetId() != r.id || reply.GetAttempt() != int64(r.attempt) {
		c.metrics.misrouted.Inc(1)
		return NewOutcomeUnknown("the forward reply belongs to another request")
	}
	return forwardReplyFromWire(reply)
}

// Apply pushes a change to the peer. A change larger than MaxMessageBytes isn't sent and has the outcome Unreachable.
func (c *Client) Apply(ctx context.Context, change Change) ApplyOutcome {
	c.init()
	w := changeToWire(change)
	if proto.Size(w) > MaxMessageBytes {
		return NewUnreachable("the change exceeds the limit of 8 MiB for a message")
	}
	ack, err := c.rpc.Apply(ctx, w)
	if err != nil {
		if c.undelivered(err) {
			return NewUnreachable(err.Error())
		}
		return NewOutcomeUnknown(err.Error())
	}
	return NewAcknowledged(ack.GetVersion())
}

// Relay returns a provider.Table that accesses the platform's table through the peer.
func (c *Client) Relay() provider.Table {
	c.init()
	return relay{client: c}
}

// Close closes the idle connections to a peer that is no longer a member. Connections in use close once they have been
// idle for 90 s. The client remains usable.
func (c *Client) Close() {
	c.init()
	c.HTTP.CloseIdleConnections()
}

func (c *Client) sendHeartbeat(ctx context.Context, d Digest) (*peerwire.Digest, error) {
	c.metrics.heartbeats.Inc(1)
	w := c.encoder.Encode(d, c.acknowledged, c.Clock.Now())
	return c.rpc.Heartbeat(ctx, withAcknowledgedPosition(w, c.decoder.LastDecoded()))
}

func (c *Client) init() {
	c.once.Do(func() {
		if c.Clock == nil {
			c.Clock = timer.System{}
		}
		if c.HTTP == nil {
			c.HTTP = &http.Client{Transport: &http.Transport{
				DialContext:         socket.NewDialer(dialTimeout, userTimeout).DialContext,
				MaxIdleConnsPerHost: maxIdleConnections,
				IdleConnTimeout:     idleConnectionTimeout,
				DisableCompression:  true,
			}}
		}
		c.metrics = newClientMetrics(c.Scope)
		h := *c.HTTP
		h.Transport = transport{next: h.Transport, secret: c.Secret}
		c.rpc = peerwire.NewPeerProtobufClient("http://"+c.Address, &h)
	})
}

// undelivered reports whether a request that failed with err certainly didn't reach the peer's handler, and counts the
// failure.
func (c *Client) undelivered(err error) bool {
	if undelivered(err) {
		c.metrics.unreachable.Inc(1)
		return true
	}
	c.metrics.unknown.Inc(1)
	return false
}

// undelivered reports whether a request that failed with err certainly didn't reach the peer's handler: the connection
// wasn't established, or the peer rejected the request before decoding its body. Any other error may have occurred after
// delivery.
func undelivered(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	var rejection twirp.Error
	if !errors.As(err, &rejection) {
		return false
	}
	switch rejection.Code() {
	case twirp.Unauthenticated, twirp.BadRoute, twirp.ResourceExhausted:
		return true
	}
	return false
}

// transport adds the secret to requests and limits the size of replies. It removes the headers that the peer ignores,
// because they made up two thirds of a digest with few changes (R28).
type transport struct {
	next   http.RoundTripper
	secret string
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	next := t.next
	if next == nil {
		next = http.DefaultTransport
	}
	r = r.Clone(r.Context())
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	r.Header.Set("User-Agent", "")
	if t.secret != "" {
		r.Header.Set(SecretHeader, t.secret)
	}
	reply, err := next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	// MaxBytesReader returns an error past the limit. A reply that is truncated without an error could decode as a
	// shorter message.
	reply.Body = http.MaxBytesReader(nil, reply.Body, MaxMessageBytes)
	return reply, nil
}
