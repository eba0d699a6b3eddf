package remote

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/provider"
)

// VMs is a client of a platform's list of VMs. It caches the last list with its tag, and fetches the list only if it
// has changed, because a list of 538 VMs has 94 KB and is read every second.
type VMs struct {
	// Address is host:port of the platform.
	Address string

	client jsonClient
	mu     sync.Mutex
	tag    string
	last   []provider.VM // the list that tag identifies
}

var _ provider.VMList = (*VMs)(nil)

type (
	vmWire struct {
		ID      string    `json:"id"`
		Role    string    `json:"role"`
		Zone    string    `json:"zone"`
		Rack    string    `json:"rack"`
		Address string    `json:"address"`
		Shape   shapeWire `json:"shape"`
		Leaving bool      `json:"leaving,omitempty"`
	}
	// listRequest contains the tag of the cached list, or none.
	listRequest struct {
		Known string `json:"known-tag,omitempty"`
	}
	// listResponse has no VMs if the list of the client is current.
	listResponse struct {
		Tag       string   `json:"tag"`
		Unchanged bool     `json:"unchanged,omitempty"`
		VMs       []vmWire `json:"vms,omitempty"`
	}
)

// roleNames are the names of roles in JSON.
var roleNames = map[provider.Role]string{provider.RoleEntryVM: "entry", provider.RoleBackendServer: "backend"}

// List implements provider.VMList.
func (l *VMs) List(ctx context.Context) provider.ListOutcome {
	l.client.initialize(l.Address, maxServiceConnections, DefaultTimeout)
	known, last := l.cached()
	var resp listResponse
	if r := l.client.call(ctx, DefaultTimeout, "/vms/list", listRequest{Known: known}, &resp); r.state != replied {
		return provider.NewUnavailable(r.reason)
	}
	if resp.Unchanged {
		return provider.NewVMs(last)
	}
	vms := make([]provider.VM, 0, len(resp.VMs))
	for _, w := range resp.VMs {
		vms = append(vms, w.vm())
	}
	l.store(resp.Tag, vms)
	return provider.NewVMs(vms)
}

func (l *VMs) cached() (string, []provider.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, l.last
}

func (l *VMs) store(tag string, vms []provider.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.last = tag, vms
}

func newVMWire(v provider.VM) vmWire {
	return vmWire{
		ID: v.ID(), Role: roleNames[v.Role()], Zone: v.Zone(), Rack: v.Rack(), Address: v.Address(),
		Shape: newShapeWire(v.Shape()), Leaving: v.Leaving(),
	}
}

func (w vmWire) vm() provider.VM {
	role := provider.RoleEntryVM
	if w.Role == roleNames[provider.RoleBackendServer] {
		role = provider.RoleBackendServer
	}
	return provider.NewVM(w.ID, role, w.Zone, w.Rack, w.Address, w.Shape.shape(), w.Leaving)
}

func (s *Server) list(c *fasthttp.RequestCtx) {
	var req listRequest
	if !decode(c, &req) {
		return
	}
	ctx, cancel := s.requestContext(c)
	defer cancel()
	switch o := s.Platform.VMs.List(ctx).(type) {
	case provider.VMs:
		reply(c, listResponseFor(req.Known, o.VMs()))
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

// listResponseFor returns the list with its tag, or the tag alone if known is the tag of the list.
func listResponseFor(known string, vms []provider.VM) listResponse {
	wires := make([]vmWire, 0, len(vms))
	for _, v := range vms {
		wires = append(wires, newVMWire(v))
	}
	data, err := json.Marshal(wires)
	if err != nil {
		panic(err) // can't happen: structs of strings, numbers and booleans always encode
	}
	// The tag is a hash of the content, so that it stays valid when the platform restarts.
	tag := strconv.FormatUint(xxhash.Sum64(data), 16)
	if tag == known {
		return listResponse{Tag: tag, Unchanged: true}
	}
	return listResponse{Tag: tag, VMs: wires}
}
