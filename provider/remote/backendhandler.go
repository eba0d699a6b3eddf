package remote

import (
	"context"
	"fmt"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/provider"
)

// backendHandler handles the HTTP requests to one backend server.
type backendHandler struct {
	server  *Server
	backend provider.BackendServer
}

func (h backendHandler) handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/acquire", h.acquire)
	r.POST("/release", h.release)
	r.POST("/report", h.report)
	r.POST("/run", h.run)
	r.POST("/close", h.close)
	r.POST("/signal", h.signal)
	return r.Handler
}

func (h backendHandler) context(c *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	return h.server.requestContext(c)
}

func (h backendHandler) acquire(c *fasthttp.RequestCtx) {
	var req acquireRequest
	if !decode(c, &req) {
		return
	}
	ctx, cancel := h.context(c)
	defer cancel()
	switch o := h.backend.Acquire(ctx, req.Holder, req.Zone).(type) {
	case provider.Granted:
		reply(c, backendResponse{
			Outcome: outcomeGranted, Epoch: o.Epoch(), DurationNs: o.Duration().Nanoseconds(),
			Tasks: newStatusWires(o.Tasks()),
		})
	case provider.Held:
		reply(c, backendResponse{Outcome: outcomeHeld, Holder: o.Holder(), DurationNs: o.Remaining().Nanoseconds()})
	case provider.Refused:
		reply(c, backendResponse{Outcome: outcomeRefused, Reason: o.Reason()})
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

func (h backendHandler) release(c *fasthttp.RequestCtx) {
	var req epochRequest
	if !decode(c, &req) {
		return
	}
	ctx, cancel := h.context(c)
	defer cancel()
	switch o := h.backend.Release(ctx, req.Epoch).(type) {
	case provider.Released:
		reply(c, backendResponse{Outcome: outcomeReleased})
	case provider.StaleEpoch:
		reply(c, backendResponse{Outcome: outcomeStaleEpoch})
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

func (h backendHandler) report(c *fasthttp.RequestCtx) {
	var req epochRequest
	if !decode(c, &req) {
		return
	}
	ctx, cancel := h.context(c)
	defer cancel()
	switch o := h.backend.Report(ctx, req.Epoch).(type) {
	case provider.Report:
		usage := newShapeWire(o.Usage())
		reply(c, backendResponse{Outcome: outcomeReport, Usage: &usage, Tasks: newStatusWires(o.Tasks())})
	case provider.StaleEpoch:
		reply(c, backendResponse{Outcome: outcomeStaleEpoch})
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

func (h backendHandler) run(c *fasthttp.RequestCtx) {
	var req runRequest
	if !decode(c, &req) {
		return
	}
	ctx, cancel := h.context(c)
	defer cancel()
	t := provider.NewTask(req.ID, req.Attempt, req.Entry, req.Team, req.Shape.shape(), req.Payload)
	switch o := h.backend.Run(ctx, req.Epoch, t).(type) {
	case provider.Answer:
		reply(c, backendResponse{Outcome: outcomeAnswer, Answer: newAnswerWire(o)})
	case provider.Refused:
		reply(c, backendResponse{Outcome: outcomeRefused, Reason: o.Reason()})
	case provider.StaleEpoch:
		reply(c, backendResponse{Outcome: outcomeStaleEpoch})
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

func (h backendHandler) close(c *fasthttp.RequestCtx) {
	var req attemptRequest
	if !decode(c, &req) {
		return
	}
	ctx, cancel := h.context(c)
	defer cancel()
	switch o := h.backend.Close(ctx, req.Epoch, req.ID, req.Attempt).(type) {
	case provider.NeverStarted:
		reply(c, backendResponse{Outcome: outcomeNeverStarted})
	case provider.StillRunning:
		reply(c, backendResponse{Outcome: outcomeStillRunning})
	case provider.Answer:
		reply(c, backendResponse{Outcome: outcomeAnswer, Answer: newAnswerWire(o)})
	case provider.StaleEpoch:
		reply(c, backendResponse{Outcome: outcomeStaleEpoch})
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

func (h backendHandler) signal(c *fasthttp.RequestCtx) {
	var req attemptRequest
	if !decode(c, &req) {
		return
	}
	s, ok := parseSignal(req.Signal)
	if !ok {
		replyBadRequest(c, fmt.Sprintf("signal is %q, allowed are checkpoint, throttle and stop", req.Signal))
		return
	}
	ctx, cancel := h.context(c)
	defer cancel()
	switch o := h.backend.Signal(ctx, req.Epoch, req.ID, req.Attempt, s).(type) {
	case provider.Signalled:
		reply(c, backendResponse{Outcome: outcomeSignalled})
	case provider.NotRunning:
		reply(c, backendResponse{Outcome: outcomeNotRunning})
	case provider.StaleEpoch:
		reply(c, backendResponse{Outcome: outcomeStaleEpoch})
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

func parseSignal(name string) (provider.Signal, bool) {
	for s, n := range signalNames {
		if n == name {
			return s, true
		}
	}
	return 0, false
}
