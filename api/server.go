// Package api serves callers and operators over HTTP, and holds the client that the command line uses.
package api

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
)

// EntryVM is what the server needs of an entry VM.
type EntryVM interface {
	// Now returns the time.
	Now() time.Time
	// Configuration returns the configuration that requests are checked against.
	Configuration() *catalogue.Configuration
	// Draining reports whether the entry VM is about to stop.
	Draining() bool
	// Submit submits a request and waits for its outcome.
	Submit(ctx context.Context, r dispatch.Request) dispatch.Outcome
	// Cancel cancels a request.
	Cancel(ctx context.Context, id string) dispatch.Outcome
	// Job returns a job, waiting for its end until the given time.
	Job(ctx context.Context, id string, until time.Time) (job dispatch.JobStatus, found, readable bool)
	// Request returns the outcome of a non-idempotent call by its id.
	Request(ctx context.Context, id string) (o dispatch.Outcome, found, readable bool)
	// Change makes a configuration change.
	Change(ctx context.Context, c dispatch.Change, author string) dispatch.Outcome
	// ChangeStatus returns how far a configuration version has come.
	ChangeStatus(ctx context.Context, version uint64) dispatch.Outcome
	// Status returns what the entry VM knows of itself and of the fleet.
	Status(ctx context.Context) dispatch.Outcome
}

// Server serves callers and operators. Its exported fields are set before Run.
type Server struct {
	// VM handles the requests.
	VM EntryVM
	// Listener accepts connections.
	Listener net.Listener
	// Random is the source of key secrets.
	Random io.Reader
	// WriteMetrics writes the metrics in the Prometheus text format. It may be nil.
	WriteMetrics func(w io.Writer) error
	// BodyBytes, ReadTimeout, WriteTimeout, IdleTimeout and WaitLimit default to the constants of this package.
	BodyBytes                              int
	ReadTimeout, WriteTimeout, IdleTimeout time.Duration
	WaitLimit                              time.Duration
}

// Run serves until ctx ends, then finishes the requests in progress.
func (s *Server) Run(ctx context.Context) error {
	s.setDefaults()
	h := &fasthttp.Server{
		Handler:               s.handler(),
		Name:                  "pistachiolead",
		MaxRequestBodySize:    s.BodyBytes,
		ReadBufferSize:        readBufferBytes,
		ReadTimeout:           s.ReadTimeout,
		WriteTimeout:          s.WriteTimeout,
		IdleTimeout:           s.IdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          handleError,
	}
	served := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		served <- h.ShutdownWithContext(bounded)
	})
	defer stop()
	if err := h.Serve(s.Listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve callers")
	}
	if ctx.Err() != nil {
		return errors.Wrap(<-served, "finish requests in progress")
	}
	return nil
}

func (s *Server) setDefaults() {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&s.ReadTimeout, defaultReadTimeout)
	set(&s.WriteTimeout, defaultWriteTimeout)
	set(&s.IdleTimeout, defaultIdleTimeout)
	set(&s.WaitLimit, defaultWaitLimit)
	if s.BodyBytes == 0 {
		s.BodyBytes = defaultBodyBytes
	}
}

func handleError(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		discardBody(c)
		writeProblem(c, problem{Code: codeBodyTooLarge, Message: "the body is too large", Outcome: outcomeNotRun})
		return
	}
	invalid(c, "the request can't be read")
}

// discardBody reads the rest of a body that is too large. A client that is still sending would get a broken connection
// instead of the answer.
func discardBody(c *fasthttp.RequestCtx) {
	// Bytes that are in the read buffer don't come from the connection again.
	rest := min(c.Request.Header.ContentLength()-readBufferBytes, maxDiscardBytes)
	if rest > 0 {
		// The answer is sent even if the client stops sending.
		_, _ = io.CopyN(io.Discard, c.Conn(), int64(rest))
	}
}

func (s *Server) handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/calls", s.call)
	r.POST("/v1/jobs", s.submitJob)
	r.GET("/v1/jobs/{id}", s.getJob)
	r.GET("/v1/requests/{id}", s.getRequest)
	r.DELETE("/v1/requests/{id}", s.cancel)
	r.GET("/v1/catalogue", s.getCatalogue)
	r.PUT("/v1/catalogue", s.putCatalogue)
	r.GET("/v1/keys", s.listKeys)
	r.POST("/v1/keys", s.grantKey)
	r.DELETE("/v1/keys/{id}", s.revokeKey)
	r.PUT("/v1/zones/{name}", s.putZone)
	r.PUT("/v1/vms/{id}", s.putVM)
	r.GET("/v1/changes/{version}", s.getChange)
	r.GET("/v1/status", s.getStatus)
	r.GET("/metrics", s.getMetrics)
	r.GET("/healthz", s.getHealth)
	r.NotFound = func(c *fasthttp.RequestCtx) {
		writeProblem(c, problem{Code: codeNotFound, Message: "there is no such path", Outcome: outcomeNotRun})
	}
	r.MethodNotAllowed = func(c *fasthttp.RequestCtx) {
		writeProblem(c, problem{Code: codeMethodNotAllowed, Message: "the path doesn't allow this method", Outcome: outcomeNotRun})
	}
	return r.Handler
}

func (s *Server) getMetrics(c *fasthttp.RequestCtx) {
	if s.WriteMetrics == nil {
		writeProblem(c, problem{Code: codeNotFound, Message: "there are no metrics", Outcome: outcomeNotRun})
		return
	}
	c.SetContentType("text/plain; version=0.0.4")
	if err := s.WriteMetrics(c); err != nil {
		c.Error("metrics can't be written", http.StatusInternalServerError)
	}
}

// getHealth tells the load balancer whether to send requests here.
func (s *Server) getHealth(c *fasthttp.RequestCtx) {
	if s.VM.Draining() {
		writeProblem(c, problem{
			Code: dispatch.CodeDraining, Message: "the entry VM is stopping", Outcome: outcomeNotRun, RetryAfterMS: 1,
		})
		return
	}
	writeJSON(c, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ok"})
}
