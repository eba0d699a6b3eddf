package remote

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Objects is a client of a platform's object store. An object has to fit into a request body as base64, so its size is
// limited to about 6 MB.
type Objects struct {
	// Address is host:port of the platform.
	Address string

	client jsonClient
}

var _ provider.ObjectStore = (*Objects)(nil)

type (
	putRequest struct {
		Name string `json:"name"`
		Data []byte `json:"data,omitempty"`
	}
	putResponse struct{}
	getRequest  struct {
		Name string `json:"name"`
	}
	getResponse struct {
		Found bool   `json:"found"`
		Data  []byte `json:"data,omitempty"`
	}
)

// Put implements provider.ObjectStore. Names have to be valid UTF-8.
func (s *Objects) Put(ctx context.Context, name string, data []byte) provider.PutOutcome {
	s.client.initialize(s.Address, maxServiceConnections, DefaultTimeout)
	if !validUTF8(name) {
		return provider.NewUnavailable(reasonInvalidUTF8)
	}
	req := putRequest{Name: name, Data: data}
	switch r := s.client.call(ctx, DefaultTimeout, "/objects/put", req, &putResponse{}); r.state {
	case noEffect:
		return provider.NewUnavailable(r.reason)
	case noReply:
		return provider.NewOutcomeUnknown(r.reason)
	}
	return provider.Stored{}
}

// Get implements provider.ObjectStore.
func (s *Objects) Get(ctx context.Context, name string) provider.GetOutcome {
	s.client.initialize(s.Address, maxServiceConnections, DefaultTimeout)
	if !validUTF8(name) {
		return provider.NewUnavailable(reasonInvalidUTF8)
	}
	var resp getResponse
	if r := s.client.call(ctx, DefaultTimeout, "/objects/get", getRequest{Name: name}, &resp); r.state != replied {
		return provider.NewUnavailable(r.reason)
	}
	if !resp.Found {
		return provider.ObjectNotFound{}
	}
	return provider.NewObject(resp.Data)
}

func (s *Server) put(c *fasthttp.RequestCtx) {
	var req putRequest
	if !decode(c, &req) {
		return
	}
	ctx, cancel := s.requestContext(c)
	defer cancel()
	switch o := s.Platform.Objects.Put(ctx, req.Name, req.Data).(type) {
	case provider.Stored:
		reply(c, putResponse{})
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

func (s *Server) get(c *fasthttp.RequestCtx) {
	var req getRequest
	if !decode(c, &req) {
		return
	}
	ctx, cancel := s.requestContext(c)
	defer cancel()
	switch o := s.Platform.Objects.Get(ctx, req.Name).(type) {
	case provider.Object:
		reply(c, getResponse{Found: true, Data: o.Data()})
	case provider.ObjectNotFound:
		reply(c, getResponse{})
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}
