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
	pathCallers = 32
	// pathTime is the length of one phase of the load.
	pathTime = 2 * time.Second
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

// BenchmarkCallPath compares calls of 0 ms through one entry VM in front of in-process backend servers with plain round
// trips of the same payloads. It reports the throughput of 32 callers, and the latency of both at half of the throughput
// of the entry VM. The stand-in of a backend server holds one lock during a start, which several servers divide.
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
		plain, _ := load(b, func() error { return call(plainURL) }, 0)
		through, _ := load(b, func() error { return call(entryURL) }, 0)
		pace := time.Duration(float64(pathCallers) / (through / 2) * float64(time.Second))
		_, before := load(b, func() error { return call(plainURL) }, pace)
		_, after := load(b, func() error { return call(entryURL) }, pace)
		b.ReportMetric(plain, "plain-calls/s")
		b.ReportMetric(through, "entry-calls/s")
		b.ReportMetric(through/plain, "ratio")
		for _, q := range []float64{50, 99} {
			b.ReportMetric(float64(before.ValueAtQuantile(q)), fmt.Sprintf("plain-p%g-µs", q))
			b.ReportMetric(float64(after.ValueAtQuantile(q)), fmt.Sprintf("entry-p%g-µs", q))
		}
	}
}

// load makes calls from several callers for a fixed time, each at the given interval if it isn't 0. It returns the calls
// per second and their latencies in microseconds.
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

// startPlain serves a fixed answer.
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
