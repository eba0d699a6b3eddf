package remote

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/socket"
	"github.com/pistachiolead/pistachiolead/timer"
)

// jsonClient posts JSON requests to one address over a bounded pool of connections.
type jsonClient struct {
	once       sync.Once
	hostClient *fasthttp.HostClient
}

// callResult is the result of a call as far as the client knows it. The reason is empty if the state is replied.
type callResult struct {
	state  callState
	reason string
}

type callState uint8

const (
	replied callState = iota
	// noEffect: the call had no effect and won't have one later.
	noEffect
	// noReply: no reply was received, and the call may have taken effect or may do so later.
	noReply
)

// pastDeadline is a deadline that makes the pending reads and writes of a connection return immediately.
var pastDeadline = time.Unix(1, 0)

func (c *jsonClient) initialize(address string, connections int, wait time.Duration) {
	c.once.Do(func() {
		c.hostClient = &fasthttp.HostClient{
			Addr:                address,
			MaxConns:            connections,
			MaxConnWaitTimeout:  wait,
			MaxIdleConnDuration: clientIdleTimeout,
			DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
				return socket.NewDialer(timeout, dialedUserTimeout).Dial("tcp4", address)
			},
		}
	})
}

// call posts in as JSON and decodes the reply into out. A reply that can't be decoded gives noReply.
func (c *jsonClient) call(ctx context.Context, timeout time.Duration, path string, in, out any) callResult {
	body, err := json.Marshal(in)
	if err != nil {
		panic(err)
	}
	if len(body) > maxRequestBytes {
		reason := fmt.Sprintf("request body has %d bytes, allowed are at most %d", len(body), maxRequestBytes)
		return callResult{noEffect, reason}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return callResult{noEffect, err.Error()}
	}

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	remaining := remainingTime(ctx)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(timeoutHeader, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	req.SetRequestURI("http://" + c.hostClient.Addr + path)
	req.SetBodyRaw(body)

	if r := c.roundTrip(ctx, remaining, req, resp); r.state != replied {
		return r
	}
	return decodeReply(resp, out)
}

// roundTrip replaces HostClient.Do. It distinguishes a request that was never sent from one without a reply, returns
// when the context ends, and never sends a request twice. While it waits for a free connection or connects, only the
// deadline of the context ends it, not its cancellation.
func (c *jsonClient) roundTrip(
	ctx context.Context, remaining time.Duration, req *fasthttp.Request, resp *fasthttp.Response,
) callResult {
	cc, err := c.hostClient.AcquireConn(remaining, false)
	if err != nil {
		return callResult{noEffect, err.Error()}
	}
	conn := cc.Conn()
	stop := context.AfterFunc(ctx, func() {
		// An error means that the connection is closed already.
		_ = conn.SetDeadline(pastDeadline)
	})

	err = c.writeAndRead(conn, req, resp)
	// If the context has ended, the connection may have a deadline in the past and can't be reused.
	if stop() && err == nil && !resp.ConnectionClose() {
		c.hostClient.ReleaseConn(cc)
		return callResult{state: replied}
	}
	c.hostClient.CloseConn(cc)
	if err == nil {
		return callResult{state: replied}
	}
	if ctx.Err() != nil {
		return callResult{noReply, ctx.Err().Error()}
	}
	// The server has probably stopped, which breaks the idle connections too.
	c.hostClient.CloseIdleConnections()
	return callResult{noReply, err.Error()}
}

// writeAndRead writes the request to the connection and reads the response.
func (c *jsonClient) writeAndRead(conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	w := c.hostClient.AcquireWriter(conn)
	defer c.hostClient.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}

	r := c.hostClient.AcquireReader(conn)
	defer c.hostClient.ReleaseReader(r)
	return resp.ReadLimitBody(r, MaxBodyBytes)
}

func decodeReply(resp *fasthttp.Response, out any) callResult {
	status := resp.StatusCode()
	if status == fasthttp.StatusServiceUnavailable || (status >= 400 && status < 500) {
		return callResult{noEffect, errorReason(resp)}
	}
	if status != fasthttp.StatusOK {
		return callResult{noReply, errorReason(resp)}
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return callResult{noReply, "decode reply: " + err.Error()}
	}
	return callResult{state: replied}
}

// errorResponse is the body of every response with a status other than 200.
type errorResponse struct {
	Reason string `json:"reason"`
}

// errorReason returns the reason in the body of the response, or else its status.
func errorReason(resp *fasthttp.Response) string {
	var w errorResponse
	if err := json.Unmarshal(resp.Body(), &w); err != nil || w.Reason == "" {
		return fmt.Sprintf("status %d", resp.StatusCode())
	}
	return w.Reason
}

func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Millisecond, deadline.Sub(timer.System{}.Now()))
}

// validUTF8 reports whether the strings are valid UTF-8. The JSON encoder replaces invalid bytes, which could make two
// different keys equal.
func validUTF8(ss ...string) bool {
	for _, s := range ss {
		if !utf8.ValidString(s) {
			return false
		}
	}
	return true
}

const reasonInvalidUTF8 = "a string of the request isn't valid UTF-8"
