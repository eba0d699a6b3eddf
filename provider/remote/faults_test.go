package remote_test

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/remote"
)

// Guards against fault requests that are accepted but have no effect, or that affect another service.
func TestFaultRequestsTakeEffect(t *testing.T) {
	ctx := context.Background()
	p := newPlatform(start())
	server, stop := serve(t, p)
	defer stop()
	table := &remote.Table{Address: server.Address}
	vms := &remote.VMs{Address: server.Address}
	backend := &remote.Backend{Address: p.Backends["b1"].VM.Address()}
	acquire := func() any {
		o := backend.Acquire(ctx, "e1", "a")
		if _, ok := o.(provider.Granted); ok {
			return "granted"
		}
		return describe(o)
	}
	commit := func() any { return describe(table.Commit(ctx, provider.Transaction{})) }
	run := func() any {
		g := backend.Acquire(ctx, "e1", "a").(provider.Granted)
		return backend.Run(ctx, g.Epoch(), task("x", 1, "")).(provider.Answer).OK()
	}
	listed := func() any {
		s := ""
		for _, v := range vms.List(ctx).(provider.VMs).VMs() {
			s += v.ID()
			if v.Leaving() {
				s += "-"
			}
		}
		return s
	}
	holder := func() any {
		_, held := p.Backends["b1"].Holder()
		return held
	}

	for _, c := range []struct {
		path, body string
		status     int
		check      func() any
		want       any
	}{
		{"table", `{"down": true}`, 200, commit, "unavailable"},
		{"table", `{"down": false, "lose-replies": 1}`, 200, commit, "unknown"},
		{"table", `{"lose-replies": {"probability": 1, "seed": 3}}`, 200, commit, "unknown"},
		{"table", `{"lose-replies": {"probability": 2}}`, 400, commit, "unknown"},
		{"table", `{"lose-replies": -1}`, 400, commit, "unknown"},
		{"table", `{"loose-replies": false}`, 400, commit, "unknown"},
		{"table", `{"fail-all": true}`, 400, acquire, "granted"},
		{"objects", `{"down": true}`, 200, acquire, "granted"},
		{"backends/b1", `{"down": 1}`, 200, acquire, "unavailable"},
		{"backends/b1", `{}`, 200, run, true},
		{"backends/b1", `{"fail-all": true, "restart": true}`, 200, run, false},
		{"backends/b1", `{"restart": true}`, 200, holder, false},
		{"backends/b9", `{}`, 404, listed, "b1e1-"},
		{"vms/e1", `{"state": "present"}`, 200, listed, "b1e1"},
		{"vms/b1", `{"state": "leaving"}`, 200, listed, "b1-e1"},
		{"vms/b1", `{"state": "left"}`, 400, listed, "b1-e1"},
		{"vms/b1", `{"state": "gone"}`, 200, listed, "e1"},
		{"vms/b1", `{"state": "gone"}`, 404, acquire, "unavailable"},
	} {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + server.Address + "/faults/" + c.path)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(c.body)
		assert.NilError(t, fasthttp.Do(req, resp))
		assert.Equal(t, resp.StatusCode(), c.status, "%s %s: %s", c.path, c.body, resp.Body())
		assert.Equal(t, c.check(), c.want, "%s %s", c.path, c.body)
	}
}
