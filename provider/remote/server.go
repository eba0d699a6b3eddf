package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/standin"
)

// Server offers a stand-in platform over HTTP: the table, the object store, the VM list and the faults at one address,
// and each backend server at the address of its VM.
//
// Faults are set by a POST of a JSON object, in which every field is optional:
//
//	/faults/table, /faults/objects, /faults/vms   down, delay-ms, lose-replies
//	/faults/backends/{id}                         the same, fail-all, cross, truncate, duplicate, late-ms, restart
//	/faults/vms/{id}                              state: present, leaving or gone
//
// The attempts that each backend server has started are read by GET /starts.
//
// The value of down, lose-replies, fail-all, cross, truncate and duplicate is true, false, the number of operations
// to hit, or an object with probability and seed.
type Server struct {
	// Address is host:port of the platform's services. A port of 0 takes a free one.
	Address string
	// Platform is what the server offers.
	Platform *standin.Platform

	cursors   cursors
	listeners []listener
	ctx       context.Context
}

// listener is a bound address with what is served there.
type listener struct {
	net.Listener
	handler fasthttp.RequestHandler
}

// Listen binds all addresses, and sets Address and the addresses of VMs whose port was 0 to the bound ones. It has to
// be called before Run and before the platform is used. After an error nothing stays bound.
func (s *Server) Listen() error {
	s.ctx = context.Background()
	address, err := s.listen(s.Address, s.serviceHandler())
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	s.Address = address

	vms := s.Platform.VMs.Actual()
	for _, id := range s.backendIDs() {
		b := s.Platform.Backends[id]
		address, err := s.listen(b.VM.Address(), backendHandler{server: s, backend: b}.handler())
		if err != nil {
			s.closeListeners()
			return errors.Wrapf(err, "backend server %s", id)
		}
		b.VM = withAddress(b.VM, address)
		for i, v := range vms {
			if v.ID() == id {
				vms[i] = withAddress(v, address)
			}
		}
	}
	s.Platform.VMs.Load(vms)
	return nil
}

// Run serves until ctx ends, and then closes all listeners. Open requests end with a broken connection.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := group.New(ctx)
	s.ctx = ctx
	for _, l := range s.listeners {
		server := &fasthttp.Server{
			Handler:            l.handler,
			MaxRequestBodySize: MaxBodyBytes,
			IdleTimeout:        serverIdleTimeout,
			CloseOnShutdown:    true,
			NoDefaultDate:      true,
		}
		g.Go(func() error { return errors.WithStack(server.Serve(l)) })
		g.Go(func() error {
			<-ctx.Done()
			stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
			defer cancel()
			// Shutdown doesn't close a listener that Serve hasn't been called with yet.
			_ = l.Close()
			// Connections that are still open end with the process.
			_ = server.ShutdownWithContext(stop)
			return nil
		})
	}
	return g.Wait()
}

func (s *Server) listen(address string, h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.listeners = append(s.listeners, listener{Listener: l, handler: h})
	if strings.HasSuffix(address, ":0") {
		return l.Addr().String(), nil
	}
	return address, nil
}

func withAddress(v provider.VM, address string) provider.VM {
	return provider.NewVM(v.ID(), v.Role(), v.Zone(), v.Rack(), address, v.Shape(), v.Leaving())
}

func (s *Server) closeListeners() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
}

func (s *Server) backendIDs() []string {
	ids := make([]string, 0, len(s.Platform.Backends))
	for id := range s.Platform.Backends {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (s *Server) serviceHandler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/table/commit", s.commit)
	r.POST("/table/scan", s.scan)
	r.POST("/objects/put", s.put)
	r.POST("/objects/get", s.get)
	r.POST("/vms/list", s.list)
	r.GET("/starts", s.starts)
	r.POST("/faults/table", s.serviceFaults(&s.Platform.Table.Faults))
	r.POST("/faults/objects", s.serviceFaults(&s.Platform.Objects.Faults))
	r.POST("/faults/vms", s.serviceFaults(&s.Platform.VMs.Faults))
	r.POST("/faults/vms/{id}", s.vmFaults)
	r.POST("/faults/backends/{id}", s.backendFaults)
	return r.Handler
}

// requestContext ends when the client stops waiting or the server stops.
func (s *Server) requestContext(c *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	timeout := DefaultTimeout
	if ms, err := strconv.ParseInt(string(c.Request.Header.Peek(timeoutHeader)), 10, 64); err == nil && ms > 0 {
		timeout = time.Duration(min(ms, standin.MaxRunTime.Milliseconds())) * time.Millisecond
	}
	return context.WithTimeout(s.ctx, timeout)
}

// decode reads the body into v, or replies that it can't.
func decode(c *fasthttp.RequestCtx, v any) bool {
	d := json.NewDecoder(bytes.NewReader(c.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		badRequest(c, err.Error())
		return false
	}
	return true
}

func reply(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// refuse replies that the operation had no effect.
func refuse(c *fasthttp.RequestCtx, reason string) {
	reply(c, refusalWire{Reason: reason})
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func badRequest(c *fasthttp.RequestCtx, reason string) {
	reply(c, refusalWire{Reason: reason})
	c.SetStatusCode(fasthttp.StatusBadRequest)
}

func notFound(c *fasthttp.RequestCtx, kind, id string) {
	reply(c, refusalWire{Reason: fmt.Sprintf("there is no %s %q", kind, id)})
	c.SetStatusCode(fasthttp.StatusNotFound)
}

// loseReply closes the connection without a reply.
func loseReply(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) {})
}
