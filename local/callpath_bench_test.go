package local_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/local"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	// pathCallers is the number of concurrent callers, pathTime the duration of one measurement.
	pathCallers = 32
	pathTime    = 2 * time.Second
)

const pathDocument = `
pools:
  - {name: main, budget: 1}
  - {name: spare, spare: true, budget: 1}
teams:
  - {name: studio, share: 1, limit: 512}
entries:
  - name: proofs
    owner: studio
    class: interactive
    pool: main
    shape: {processors: 1, memory: 1MiB}
    idempotent: true
`

// BenchmarkCallPath compares calls that run for 0 ms, through one entry VM and in-process backend servers, with HTTP
// round trips of the same payloads to a server with a fixed response. It reports the throughput of 32 callers of each,
// and the latencies of both at half of the entry VM's throughput. It runs with several backend servers too, because the
// stand-in of a backend server holds a lock during each start.
func BenchmarkCallPath(b *testing.B) {
	for _, servers := range []int{1, 8} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchmarkPath(b, servers) })
	}
}

func benchmarkPath(b *testing.B, servers int) {
	b.Helper()
	entryURL, key := startPath(b, servers)
	request := `{"entry":"proofs","payload":{"run-ms":0}}`
	client := &fasthttp.Client{MaxConnsPerHost: 2 * pathCallers}
	call := func(url string) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI(url)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set(api.KeyHeader, key)
		req.SetBodyString(request)
		if err := client.Do(req, resp); err != nil {
			return err
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
		}
		return nil
	}
	resp := fasthttp.AcquireResponse()
	answer := answerOf(b, client, entryURL, key, request, resp)
	plainURL := startPlain(b, answer)

	for b.Loop() {
		plainRate, _ := load(b, func() error { return call(plainURL) }, 0)
		entryRate, _ := load(b, func() error { return call(entryURL) }, 0)
		interval := time.Duration(float64(pathCallers) / (entryRate / 2) * float64(time.Second))
		_, plainLatency := load(b, func() error { return call(plainURL) }, interval)
		_, entryLatency := load(b, func() error { return call(entryURL) }, interval)
		b.ReportMetric(plainRate, "plain-calls/s")
		b.ReportMetric(entryRate, "entry-calls/s")
		b.ReportMetric(entryRate/plainRate, "ratio")
		for _, q := range []float64{50, 99} {
			b.ReportMetric(float64(plainLatency.ValueAtQuantile(q)), fmt.Sprintf("plain-p%g-µs", q))
			b.ReportMetric(float64(entryLatency.ValueAtQuantile(q)), fmt.Sprintf("entry-p%g-µs", q))
		}
	}
}

// load calls call from pathCallers goroutines for pathTime. Each calls once per interval, or without pauses if it is 0.
// It returns the calls per second and their latencies in microseconds.
func load(b *testing.B, call func() error, interval time.Duration) (float64, *hdrhistogram.Histogram) {
	b.Helper()
	clock := timer.System{}
	start := clock.Now()
	results := make([]*hdrhistogram.Histogram, pathCallers)
	callers, _ := group.New(context.Background())
	for i := range results {
		h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		results[i] = h
		callers.Go(func() error {
			next := start.Add(interval * time.Duration(i) / pathCallers)
			for clock.Now().Sub(start) < pathTime {
				if d := next.Sub(clock.Now()); interval > 0 && d > 0 {
					done := make(chan struct{})
					clock.After(d, func(time.Time) { close(done) })
					<-done
				}
				next = next.Add(interval)
				sent := clock.Now()
				if err := call(); err != nil {
					return err
				}
				if err := h.RecordValue(clock.Now().Sub(sent).Microseconds()); err != nil {
					return err
				}
			}
			return nil
		})
	}
	assert.NilError(b, callers.Wait())
	all := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, h := range results {
		all.Merge(h)
	}
	return float64(all.TotalCount()) / clock.Now().Sub(start).Seconds(), all
}

// startPath starts a fleet of one entry VM and returns the URL for calls and the secret of a submitter's key.
func startPath(b *testing.B, servers int) (url, key string) {
	b.Helper()
	c, err := catalogue.Parse([]byte(pathDocument), "catalogue.yaml")
	assert.NilError(b, err)
	f := &local.Fleet{
		Zones: []string{"a"}, EntryVMs: 1, BackendServers: 2 * servers, // every other one is in the spare pool
		Catalogue: c, Shape: provider.NewShape(512/servers, 1<<20, 0, 512/servers),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	assert.NilError(b, f.Start(ctx))
	b.Cleanup(func() { assert.Check(b, f.Stop()) })
	address := f.Members()[0].Address()
	admin := &api.Client{Addresses: []string{address}, Key: f.AdminKey()}
	grant, err := admin.GrantKey("studio", "submitter", 0)
	assert.NilError(b, err)
	return "http://" + address + "/v1/calls", grant.Secret()
}

// answerOf makes one call and returns the body of its response.
func answerOf(
	b *testing.B, client *fasthttp.Client, url, key, request string, resp *fasthttp.Response,
) []byte {
	b.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(api.KeyHeader, key)
	req.SetBodyString(request)
	assert.NilError(b, client.Do(req, resp))
	assert.Equal(b, resp.StatusCode(), fasthttp.StatusOK, string(resp.Body()))
	return resp.Body()
}

// startPlain starts an HTTP server with a fixed response body and returns its URL.
func startPlain(b *testing.B, answer []byte) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBody(answer) }}
	g, _ := group.New(context.Background())
	g.Go(func() error { return s.Serve(l) })
	b.Cleanup(func() {
		assert.Check(b, s.Shutdown())
		assert.Check(b, g.Wait())
	})
	return "http://" + l.Addr().String()
}
