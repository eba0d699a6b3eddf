package remote

import (
	"github.com/valyala/fasthttp"
)

// startsResponse contains the started attempts by id of the backend server and request id, in order of their starts.
type startsResponse struct {
	Backends map[string]map[string][]int `json:"backends"`
}

// starts returns the attempts that the backend servers have started, for tests in another process.
func (s *Server) starts(c *fasthttp.RequestCtx) {
	resp := startsResponse{Backends: make(map[string]map[string][]int)}
	for id, b := range s.Platform.Backends {
		resp.Backends[id] = b.Counters.AttemptsByRequest()
	}
	reply(c, resp)
}
