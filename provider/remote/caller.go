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

	"github.com/pistachiolead/pistachiolead/timer"
)

// caller sends requests to one address over a bounded pool of connections.
type caller struct {
	once   sync.Once
	client *fasthttp.HostClient
}

// result says what became of a request: it was replied to, it had no effect (and never will), or neither is known.
type result struct {
	state  resultState
	reason string
}

type resultState uint8

const (
	replied resultState = iota
	noEffect
	noReply
)

// expired is a deadline in the past, which makes reads and writes of a connection return at once.
var expired = time.Unix(1, 0)

func (c *caller) load(address string, connections int, wait time.Duration) {
	c.once.Do(func() {
		c.client = &fasthttp.HostClient{
			Addr:                address,
			MaxConns:            connections,
			MaxConnWaitTimeout:  wait,
			MaxIdleConnDuration: clientIdleTimeout,
			DialTimeout:         fasthttp.DialTimeout,
		}
	})
}

// call posts in as JSON and decodes the reply into out. A reply that can't be decoded counts as none.
func (c *caller) call(ctx context.Context, timeout time.Duration, path string, in, out any) result {
	body, err := json.Marshal(in)
	if err != nil {
		panic(err)
	}
	if len(body) > maxRequestBytes {
		return result{noEffect, fmt.Sprintf("the request of %d bytes is over the limit of %d", len(body), maxRequestBytes)}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return result{noEffect, err.Error()}
	}

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	remaining := remainingTime(ctx)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(timeoutHeader, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	req.SetRequestURI("http://" + c.client.Addr + path)
	req.SetBodyRaw(body)

	if r := c.exchange(ctx, remaining, req, resp); r.state != replied {
		return r
	}
	return decodeReply(resp, out)
}

// exchange does by hand what HostClient.Do does, to tell a request that was never sent from one without a reply, to
// end with the context, and to never send a request twice. Waiting for a free connection and connecting end with the
// deadline of the context, but not with its cancellation.
func (c *caller) exchange(
	ctx context.Context, remaining time.Duration, req *fasthttp.Request, resp *fasthttp.Response,
) result {
	cc, err := c.client.AcquireConn(remaining, false)
	if err != nil {
		return result{noEffect, err.Error()}
	}
	conn := cc.Conn()
	stop := context.AfterFunc(ctx, func() {
		// An error means that the connection is closed already.
		_ = conn.SetDeadline(expired)
	})

	err = c.transfer(conn, req, resp)
	// If the context ended meanwhile, the connection may have a deadline in the past and can't be used again.
	if stop() && err == nil && !resp.ConnectionClose() {
		c.client.ReleaseConn(cc)
		return result{state: replied}
	}
	c.client.CloseConn(cc)
	if err == nil {
		return result{state: replied}
	}
	if ctx.Err() != nil {
		return result{noReply, ctx.Err().Error()}
	}
	// The server has probably ended, and the idle connections with it.
	c.client.CloseIdleConnections()
	return result{noReply, err.Error()}
}

// transfer writes the request to the connection and reads the response.
func (c *caller) transfer(conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	w := c.client.AcquireWriter(conn)
	defer c.client.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}

	r := c.client.AcquireReader(conn)
	defer c.client.ReleaseReader(r)
	return resp.ReadLimitBody(r, MaxBodyBytes)
}

func decodeReply(resp *fasthttp.Response, out any) result {
	status := resp.StatusCode()
	if status == fasthttp.StatusServiceUnavailable || (status >= 400 && status < 500) {
		return result{noEffect, refusal(resp)}
	}
	if status != fasthttp.StatusOK {
		return result{noReply, refusal(resp)}
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return result{noReply, err.Error()}
	}
	return result{state: replied}
}

// refusalWire is the body of every status but 200.
type refusalWire struct {
	Reason string `json:"reason"`
}

func refusal(resp *fasthttp.Response) string {
	var w refusalWire
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

// encodable reports whether JSON carries the strings unchanged. Invalid UTF-8 would be replaced, and two different
// keys could become one.
func encodable(ss ...string) bool {
	for _, s := range ss {
		if !utf8.ValidString(s) {
			return false
		}
	}
	return true
}

const reasonNotText = "a name is not valid UTF-8"
