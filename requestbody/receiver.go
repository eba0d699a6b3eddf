package requestbody

import (
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	// refusedField marks a request whose announced body is too large, from the hook of fasthttp that reads headers to the handler.
	// Clients can't set it.
	refusedField = "Pistachiolead-Body-Refused"
	// prefetchedBytes is how much of a body fasthttp reads before it calls the handler. It can't be 0.
	prefetchedBytes = 1
	// Defaults of Receiver.
	defaultLingerBytes = 4 << 20
	defaultLingerTime  = 2 * time.Second
	maxLingering       = 64
)

// longAgo is a deadline that interrupts a read.
var longAgo = time.Unix(1, 0)

// reservationKey is the key of the user value with the reservation of a request.
type reservationKey struct{}

// Receiver receives the bodies of the requests to a fasthttp.Server. Its exported fields are set before Attach.
type Receiver struct {
	Budget *Budget
	// Limit returns the maximum size of a body.
	Limit func() int
	// Refuse writes the response to a request whose body wasn't received. It defaults to a response without a body.
	Refuse func(*fasthttp.RequestCtx, Cause)
	// Received is called when a request is complete. It may be nil.
	Received func(net.Conn)
	// LingerBytes and LingerTime bound what is read from a client that still sends its body after it was refused. A connection
	// that is closed with unread bytes is reset, and the client may miss the response.
	LingerBytes int64
	LingerTime  time.Duration

	lingering atomic.Int64
}

// Attach makes the server call its handler with complete bodies, for which PostBody returns the bytes until the handler returns or
// calls Release.
func (r *Receiver) Attach(s *fasthttp.Server) {
	if r.LingerBytes == 0 {
		r.LingerBytes = defaultLingerBytes
	}
	if r.LingerTime == 0 {
		r.LingerTime = defaultLingerTime
	}
	if r.Refuse == nil {
		r.Refuse = writeRefusal
	}
	next := s.Handler
	s.Handler = func(ctx *fasthttp.RequestCtx) { r.handle(ctx, next) }
	s.HeaderReceived = r.checkHeader
	s.StreamRequestBody, s.MaxRequestBodySize, s.DisablePreParseMultipartForm = true, prefetchedBytes, true
}

func (r *Receiver) limit() int { return min(r.Limit(), r.Budget.MaxBodyBytes()) }

// checkHeader refuses a body that is announced over the limit. fasthttp reads the first bytes of a body before it calls the
// handler, so that the body is declared empty, which makes fasthttp call the handler at once.
func (r *Receiver) checkHeader(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	h.Del(refusedField)
	if h.ContentLength() > r.limit() {
		h.Del(fasthttp.HeaderExpect)
		h.SetContentLength(0)
		h.SetConnectionClose()
		h.Set(refusedField, string(TooLarge))
	}
	return fasthttp.RequestConfig{}
}

func (r *Receiver) handle(ctx *fasthttp.RequestCtx, next fasthttp.RequestHandler) {
	if len(ctx.Request.Header.Peek(refusedField)) > 0 {
		r.refuse(ctx, TooLarge)
		return
	}
	stream, announced := ctx.RequestBodyStream(), ctx.Request.Header.ContentLength()
	switch {
	case stream == nil:
	case announced == 0:
		ctx.Request.SetBodyRaw(nil)
	default:
		conn := ctx.Conn()
		reservation := r.Budget.Reserve(func() { _ = conn.SetReadDeadline(longAgo) }) // fails if it is closed
		defer reservation.Release()
		body, err := reservation.Read(stream, announced, r.limit())
		if err != nil {
			r.refuse(ctx, CauseOf(err))
			return
		}
		ctx.Request.SetBodyRaw(body)
		ctx.SetUserValue(reservationKey{}, reservation)
	}
	if r.Received != nil {
		r.Received(ctx.Conn())
	}
	next(ctx)
}

// Release returns the bytes of a request's body to the budget before the handler returns. PostBody returns nothing then.
func Release(ctx *fasthttp.RequestCtx) {
	if reservation, ok := ctx.UserValue(reservationKey{}).(*Reservation); ok {
		ctx.Request.SetBodyRaw(nil)
		reservation.Release()
	}
}

func (r *Receiver) refuse(ctx *fasthttp.RequestCtx, c Cause) {
	r.Budget.Refused(c, ctx.LocalAddr().String())
	r.Refuse(ctx, c)
	ctx.SetConnectionClose()
	if c == TooLarge || c == NoRoom {
		r.linger(ctx)
	}
}

// linger sends the response, and then discards what the client still sends. fasthttp itself closes a connection right after the
// response.
func (r *Receiver) linger(ctx *fasthttp.RequestCtx) {
	if r.lingering.Add(1) > maxLingering {
		r.lingering.Add(-1)
		return
	}
	ctx.Response.SkipBody = ctx.IsHead()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		defer r.lingering.Add(-1)
		if conn.SetDeadline(timer.System{}.Now().Add(r.LingerTime)) != nil {
			return // the client is gone
		}
		if _, err := ctx.Response.WriteTo(conn); err != nil {
			return
		}
		if wrapped, ok := conn.(interface{ UnsafeConn() net.Conn }); ok {
			if half, ok := wrapped.UnsafeConn().(interface{ CloseWrite() error }); ok {
				_ = half.CloseWrite() // the client may be gone
			}
		}
		_, _ = io.CopyN(io.Discard, conn, r.LingerBytes) // ends when the client closes the connection
	})
}

// StatusOf returns the HTTP status of a refusal.
func StatusOf(c Cause) int {
	switch c {
	case TooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case NoRoom:
		return fasthttp.StatusServiceUnavailable
	case TimedOut:
		return fasthttp.StatusRequestTimeout
	case NoConnection, Broken:
	}
	return fasthttp.StatusBadRequest
}

func writeRefusal(ctx *fasthttp.RequestCtx, c Cause) {
	ctx.SetStatusCode(StatusOf(c))
	if c == NoRoom {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(RetryAfterSeconds))
	}
}
