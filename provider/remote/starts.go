package remote

import (
	"github.com/valyala/fasthttp"
)

// startsResponse holds, by backend server and request id, the attempts that were started, in order of their starts.
type startsResponse struct {
	Backends map[string]map[string][]int `json:"backends"`
}

// starts tells what the backend servers have started, for tests that have no other access to the platform.
func (s *Server) starts(c *fasthttp.RequestCtx) {
	resp := startsResponse{Backends: make(map[string]map[string][]int)}
	for id, b := range s.Platform.Backends {
		resp.Backends[id] = b.Counters.All()
	}
	reply(c, resp)
}
