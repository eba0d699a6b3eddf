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
	"github.com/pistachiolead/pistachiolead/timer"
)

// Client sends messages to one peer. It is safe for concurrent use; heartbeats are sent one at a time.
type Client struct {
	// Address is host:port of the peer.
	Address string
	// HTTP defaults to a client that connects directly, without the proxy of the environment.
	HTTP *http.Client
	// Secret is the peer's secret, see Server.
	Secret string
	// Timer defaults to the system's.
	Timer timer.Clock
	// Scope receives counters, and defaults to none.
	Scope tally.Scope

	once    sync.Once
	rpc     peerwire.Peer
	metrics clientMetrics

	heartbeat sync.Mutex
	encoder   DigestEncoder
	decoder   DigestDecoder
	// confirmed is the position of the last digest that the peer says it decoded.
	confirmed Position
}

// Heartbeat sends a digest and returns the peer's.
func (c *Client) Heartbeat(ctx context.Context, d Digest) HeartbeatOutcome {
	c.init()
	c.heartbeat.Lock()
	defer c.heartbeat.Unlock()

	reply, err := c.exchange(ctx, d)
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.FailedPrecondition {
		// The peer was restarted, or has forgotten this member.
		c.encoder.Reset()
		c.metrics.resent.Inc(1)
		reply, err = c.exchange(ctx, d)
	}
	if err != nil {
		if c.undelivered(err) {
			return NewUnreachable(err.Error())
		}
		return NewUnknown(err.Error())
	}

	c.confirmed = heardIn(reply)
	whole, ok := c.decoder.Decode(reply)
	if !ok {
		return NewUnknown("the base of the reply is missing")
	}
	return NewHeard(whole)
}

// Forward sends a request. The peer's answer may still have to be checked, see Answered.Whole.
func (c *Client) Forward(ctx context.Context, r Request) ForwardOutcome {
	c.init()
	if r.hops >= MaxHops {
		return NewNotRun(codeHops, "the request was forwarded already", 0)
	}
	if r.remaining < 0 {
		return NewNotRun(codeDeadline, "the deadline has passed", 0)
	}
	r.hops++
	w := requestToWire(r)
	if proto.Size(w) > MaxMessageBytes {
		return NewNotRun(codeTooLarge, "the payload is too large to forward", 0)
	}
	c.metrics.forwards.Inc(1)
	reply, err := c.rpc.Forward(ctx, w)
	if err != nil {
		if c.undelivered(err) {
			return NewUnreachable(err.Error())
		}
		return NewUnknown(err.Error())
	}
	if reply.GetId() != r.id || reply.GetAttempt() != int64(r.attempt) {
		c.metrics.crossed.Inc(1)
		return NewUnknown("reply to another request")
	}
	return replyFromWire(reply)
}

// Apply pushes a change.
func (c *Client) Apply(ctx context.Context, change Change) ApplyOutcome {
	c.init()
	w := changeToWire(change)
	if proto.Size(w) > MaxMessageBytes {
		return NewUnreachable("the change is too large to push")
	}
	ack, err := c.rpc.Apply(ctx, w)
	if err != nil {
		if c.undelivered(err) {
			return NewUnreachable(err.Error())
		}
		return NewUnknown(err.Error())
	}
	return NewAcknowledged(ack.GetVersion())
}

// Relay returns the platform's table as the peer reaches it.
func (c *Client) Relay() provider.Table {
	c.init()
	return relay{client: c}
}

// Close closes the connections that aren't in use, for a peer that has left. Connections in use close when
// they have been idle for 90 s. The client can still be used.
func (c *Client) Close() {
	c.init()
	c.HTTP.CloseIdleConnections()
}

func (c *Client) exchange(ctx context.Context, d Digest) (*peerwire.Digest, error) {
	c.metrics.heartbeats.Inc(1)
	w := c.encoder.Encode(d, c.confirmed, c.Timer.Now())
	return c.rpc.Heartbeat(ctx, withHeard(w, c.decoder.Heard()))
}

func (c *Client) init() {
	c.once.Do(func() {
		if c.Timer == nil {
			c.Timer = timer.System{}
		}
		if c.HTTP == nil {
			c.HTTP = &http.Client{Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConnsPerHost: idleConnections,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			}}
		}
		c.metrics = newClientMetrics(c.Scope)
		h := *c.HTTP
		h.Transport = transport{next: h.Transport, secret: c.Secret}
		c.rpc = peerwire.NewPeerProtobufClient("http://"+c.Address, &h)
	})
}

// undelivered reports whether a failed request certainly didn't reach the peer's handler, and counts the failure.
func (c *Client) undelivered(err error) bool {
	if undelivered(err) {
		c.metrics.unreachable.Inc(1)
		return true
	}
	c.metrics.unknown.Inc(1)
	return false
}

// undelivered reports whether the request certainly didn't reach the peer's handler: no connection was made, or the
// peer refused it before reading it. Any other error may have come after delivery.
func undelivered(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	var refused twirp.Error
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Code() == twirp.Unauthenticated || refused.Code() == twirp.BadRoute
}

// transport adds the secret, leaves out headers that are of no use, and bounds the reply. Headers were two thirds of
// a digest with few changes (R28).
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
	// MaxBytesReader fails past the limit. A reply that is merely cut off could decode as a shorter one.
	reply.Body = http.MaxBytesReader(nil, reply.Body, MaxMessageBytes)
	return reply, nil
}
