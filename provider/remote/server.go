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
	"github.com/pistachiolead/pistachiolead/socket"
)

// Server serves a simulated platform over HTTP: the table, the object store, the VM list and the fault settings at one
// address, and each backend server at the address of its VM.
//
// Faults are set by a POST of a JSON object, in which every field is optional:
//
//	/faults/table, /faults/objects, /faults/vms   down, delay-ms, lose-replies
//	/faults/backends/{id}                         the same, fail-all, cross, truncate, duplicate, late-ms, restart
//	/faults/vms/{id}                              state: present, leaving or gone
//
// GET /starts returns the attempts that each backend server has started.
//
// The value of down, lose-replies, fail-all, cross, truncate and duplicate is true, false, the number of operations
// that the fault affects, or an object with probability and seed.
type Server struct {
	// Address is host:port of the platform's services. If the port is 0, Listen chooses a free one.
	Address string
	// Platform is required.
	Platform *standin.Platform

	cursors   cursors
	listeners []listener
	ctx       context.Context
}

// listener is a bound address and the handler of its requests.
type listener struct {
	net.Listener
	handler fasthttp.RequestHandler
}

// Listen binds all addresses, and replaces ports of 0 in Address and in the addresses of VMs by the bound ones. It has
// to be called before Run and before the platform is used. If it returns an error, no address is bound.
func (s *Server) Listen() error {
	s.ctx = context.Background()
	address, err := s.bind(s.Address, s.serviceHandler())
	if err != nil {
		return errors.Wrapf(err, "listen on address %q of the platform", s.Address)
	}
	s.Address = address

	vms := s.Platform.VMs.Actual()
	for _, id := range s.backendIDs() {
		b := s.Platform.Backends[id]
		address, err := s.bind(b.VM.Address(), backendHandler{server: s, backend: b}.handler())
		if err != nil {
			s.closeListeners()
			return errors.Wrapf(err, "listen on address %q of backend server %s", b.VM.Address(), id)
		}
		b.VM = withAddress(b.VM, address)
		for i, v := range vms {
			if v.ID() == id {
				vms[i] = withAddress(v, address)
			}
		}
	}
	s.Platform.VMs.Replace(vms)
	return nil
}

// Run serves until ctx ends, and then closes all listeners. The clients of open requests get no response.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := group.New(ctx)
	s.ctx = ctx
	for _, l := range s.listeners {
		server := &fasthttp.Server{
			Handler:            l.handler,
			MaxRequestBodySize: MaxBodyBytes,
			ReadTimeout:        serverReadTimeout,
			IdleTimeout:        serverIdleTimeout,
			CloseOnShutdown:    true,
			NoDefaultDate:      true,
		}
		g.Go(func() error { return errors.WithStack(server.Serve(l)) })
		g.Go(func() error {
			<-ctx.Done()
			stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
			defer cancel()
			// Shutdown doesn't close a listener that hasn't been passed to Serve yet.
			_ = l.Close()
			// Connections that are still open after the timeout are closed when the process exits.
			_ = server.ShutdownWithContext(stop)
			return nil
		})
	}
	return g.Wait()
}

func (s *Server) bind(address string, h fasthttp.RequestHandler) (string, error) {
	l, err := socket.Listen("tcp", address, acceptedUserTimeout)
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

// requestContext returns a context that ends after the timeout of the client or when the server stops.
func (s *Server) requestContext(c *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	timeout := DefaultTimeout
	if ms, err := strconv.ParseInt(string(c.Request.Header.Peek(timeoutHeader)), 10, 64); err == nil && ms > 0 {
		timeout = time.Duration(min(ms, standin.MaxRunTime.Milliseconds())) * time.Millisecond
	}
	return context.WithTimeout(s.ctx, timeout)
}

// decode decodes the JSON body into v. If that fails, it replies with status 400 and returns false.
func decode(c *fasthttp.RequestCtx, v any) bool {
	d := json.NewDecoder(bytes.NewReader(c.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		replyBadRequest(c, "decode request body: "+err.Error())
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

// replyUnavailable replies with status 503, which means that the operation had no effect.
func replyUnavailable(c *fasthttp.RequestCtx, reason string) {
	reply(c, errorResponse{Reason: reason})
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func replyBadRequest(c *fasthttp.RequestCtx, reason string) {
	reply(c, errorResponse{Reason: reason})
	c.SetStatusCode(fasthttp.StatusBadRequest)
}

func replyNotFound(c *fasthttp.RequestCtx, kind, id string) {
	reply(c, errorResponse{Reason: fmt.Sprintf("there is no %s %q", kind, id)})
	c.SetStatusCode(fasthttp.StatusNotFound)
}

// closeWithoutReply closes the connection without a response, as if the reply was lost.
func closeWithoutReply(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) {})
}
