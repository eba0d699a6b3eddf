package api

import (
	"context"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
)

// statusInfo is the JSON body of the response with the status of an entry VM and its view of the fleet.
type statusInfo struct {
	EntryVM  string     `json:"entry-vm"`
	Zone     string     `json:"zone"`
	Version  uint64     `json:"configuration-version"`
	Fresh    bool       `json:"fresh"`
	Draining bool       `json:"draining"`
	Members  []string   `json:"members"`
	Owned    []string   `json:"backend-servers-owned"`
	Queued   int        `json:"queued"`
	Running  int        `json:"running"`
	Jobs     int        `json:"unfinished-jobs"`
	Zones    []zoneInfo `json:"zones"`
	Pools    []poolInfo `json:"pools"`
	Teams    []teamInfo `json:"teams"`
	VMs      []vmInfo   `json:"vms"`
}

type zoneInfo struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Servers int    `json:"backend-servers"`
}

type poolInfo struct {
	Name   string `json:"name"`
	Spare  bool   `json:"spare"`
	VMs    int    `json:"vms"`
	Absent int    `json:"absent"`
	Budget int    `json:"budget"`
	Free   int    `json:"free-slots-here"`
}

type teamInfo struct {
	Name    string `json:"name"`
	Limit   int    `json:"limit"`
	Running int    `json:"running-here"`
	Queued  int    `json:"queued-here"`
}

type vmInfo struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Pool    string `json:"pool"`
	State   string `json:"state"`
	Leaving bool   `json:"leaving"`
}

func (s *Server) getStatus(c *fasthttp.RequestCtx) {
	secret := string(c.Request.Header.Peek(KeyHeader))
	if d, ok := catalogue.AuthorizeAdmin(s.VM.Configuration(), secret, s.VM.Now()).(catalogue.Denied); ok {
		writeDenied(c, d)
		return
	}
	ctx, cancel := context.WithTimeout(c, changeTimeout)
	defer cancel()
	st, ok := s.VM.Status(ctx).(dispatch.Status)
	if !ok {
		writeProblem(c, problem{
			Code: dispatch.CodeLostContact, Message: "the entry VM didn't return its status before the timeout",
			Outcome: outcomeNotRun,
		})
		return
	}
	writeJSON(c, http.StatusOK, statusInfoOf(st))
}

func statusInfoOf(st dispatch.Status) statusInfo {
	info := statusInfo{
		EntryVM: st.EntryVM(), Zone: st.Zone(), Version: st.Version(), Fresh: st.Fresh(), Draining: st.Draining(),
		Members: st.Members(), Owned: st.Owned(), Queued: st.Queued(), Running: st.Running(), Jobs: st.Jobs(),
	}
	for _, z := range st.Zones() {
		info.Zones = append(info.Zones, zoneInfo{Name: z.Name(), State: serviceState(z.OutOfService()), Servers: z.Servers()})
	}
	for _, p := range st.Pools() {
		info.Pools = append(info.Pools, poolInfo{
			Name: p.Name(), Spare: p.Spare(), VMs: p.VMs(), Absent: p.Absent(), Budget: p.Budget(), Free: p.FreeSlots(),
		})
	}
	for _, t := range st.Teams() {
		info.Teams = append(info.Teams, teamInfo{Name: t.Name(), Limit: t.Limit(), Running: t.Running(), Queued: t.Queued()})
	}
	for _, v := range st.VMs() {
		info.VMs = append(info.VMs, vmInfo{
			ID: v.ID(), Zone: v.Zone(), Rack: v.Rack(), Pool: v.Pool(), State: serviceState(v.OutOfService()),
			Leaving: v.Leaving(),
		})
	}
	return info
}

// serviceState returns the value of the field "state" of a zone or VM.
func serviceState(out bool) string {
	if out {
		return stateOut
	}
	return stateIn
}
