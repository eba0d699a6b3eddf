// Package api is the HTTP interface of entry VMs for callers and operators. Server turns requests with JSON bodies into
// calls of an entry VM and their outcomes into JSON responses. Client sends such requests, and is what the command line
// uses.
package api

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/requestbody"
)

// EntryVM is the part of an entry VM that Server uses. Package entry implements it.
type EntryVM interface {
	// Now returns the current time of the entry VM's clock.
	Now() time.Time
	// Configuration returns the configuration that requests are checked against.
	Configuration() *catalogue.Configuration
	// Draining reports whether a planned stop has started.
	Draining() bool
	// Submit submits a request and waits for its outcome.
	Submit(ctx context.Context, r dispatch.Request) dispatch.Outcome
	// Cancel cancels a request by its id.
	Cancel(ctx context.Context, id string) dispatch.Outcome
	// Job returns the status of a job. It waits until the given time for the job to end. found is false if there is no
	// such job, readable is false if its rows couldn't be read.
	Job(ctx context.Context, id string, until time.Time) (job dispatch.JobStatus, found, readable bool)
	// Request returns the outcome of a non-idempotent call by its id. found is false if none is recorded, readable is
	// false if the record couldn't be read.
	Request(ctx context.Context, id string) (o dispatch.Outcome, found, readable bool)
	// Change makes a configuration change, which is recorded with its author.
	Change(ctx context.Context, c dispatch.Change, author string) dispatch.Outcome
	// ChangeStatus returns whether a configuration version is stored and in force.
	ChangeStatus(ctx context.Context, version uint64) dispatch.Outcome
	// Status returns the status of the entry VM and its view of the fleet.
	Status(ctx context.Context) dispatch.Outcome
	// Explain returns what would become of a request that was submitted now. Nothing is submitted or stored.
	Explain(ctx context.Context, r dispatch.Request) dispatch.Outcome
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
	// Bodies bounds the memory for the bodies of requests. It may be nil, for one of BodyMemory.
	Bodies *requestbody.Budget
	// MaxBodyBytes is the maximum size of a request body, MaxWait the largest value of the query parameter wait-ms. They
	// and the timeouts of connections default to the constants of this package.
	MaxBodyBytes                           int
	ReadTimeout, WriteTimeout, IdleTimeout time.Duration
	MaxWait                                time.Duration
}

// Run serves until ctx ends, then finishes the requests in progress for a limited time.
func (s *Server) Run(ctx context.Context) error {
	s.setDefaults()
	h := &fasthttp.Server{
		Handler:               s.handler(),
		Name:                  "pistachiolead",
		ReadBufferSize:        readBufferBytes,
		ReadTimeout:           s.ReadTimeout,
		WriteTimeout:          s.WriteTimeout,
		IdleTimeout:           s.IdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          handleError,
	}
	bodies := &requestbody.Receiver{
		Budget: s.Bodies, Limit: func() int { return s.MaxBodyBytes }, Refuse: writeRefusal,
		LingerBytes: maxDiscardBytes, LingerTime: s.ReadTimeout,
	}
	bodies.Attach(h)
	shutdown := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		shutdown <- h.ShutdownWithContext(bounded)
	})
	defer stop()
	if err := h.Serve(s.Listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve callers")
	}
	if ctx.Err() != nil {
		return errors.Wrap(<-shutdown, "finish requests in progress")
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
	set(&s.MaxWait, defaultWaitLimit)
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultBodyBytes
	}
	if s.Bodies == nil {
		s.Bodies = &requestbody.Budget{Bytes: BodyMemory(s.MaxBodyBytes)}
	}
}

// BodyMemory returns the size of a budget for bodies of at most so many bytes.
func BodyMemory(maxBodyBytes int) int64 {
	return max(requestbody.DefaultBytes, bodiesInBudget*int64(maxBodyBytes))
}

// handleError writes the response to a request that can't be read.
func handleError(c *fasthttp.RequestCtx, _ error) { writeInvalid(c, unreadableMessage) }

// writeRefusal writes the response to a request whose body wasn't received.
func writeRefusal(c *fasthttp.RequestCtx, cause requestbody.Cause) {
	switch cause {
	case requestbody.TooLarge:
		writeProblem(c, problem{Code: codeBodyTooLarge, Message: "the body is too large", Outcome: outcomeNotRun})
	case requestbody.NoRoom:
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(requestbody.RetryAfterSeconds))
		writeProblem(c, problem{
			Code: codeNoRoom, Message: "the entry VM receives too many bodies at a time", Outcome: outcomeNotRun,
			RetryAfterMS: requestbody.RetryAfterSeconds * 1000,
		})
	case requestbody.NoConnection, requestbody.TimedOut, requestbody.Broken:
		writeInvalid(c, unreadableMessage)
	}
}

// decode decodes the body of a request, which isn't available any more after that.
func (s *Server) decode(c *fasthttp.RequestCtx, into any) error {
	defer requestbody.Release(c)
	var err error
	s.Bodies.Decode(func() { err = decodeStrictly(c.PostBody(), into) })
	return err
}

func (s *Server) handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/calls", s.call)
	r.POST("/v1/jobs", s.submitJob)
	r.POST("/v1/explanations", s.explain)
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
		message := fmt.Sprintf("the path %q doesn't exist", c.Path())
		writeProblem(c, problem{Code: codeNotFound, Message: message, Outcome: outcomeNotRun})
	}
	r.MethodNotAllowed = func(c *fasthttp.RequestCtx) {
		message := fmt.Sprintf("the path %q doesn't allow the method %q", c.Path(), c.Method())
		writeProblem(c, problem{Code: codeMethodNotAllowed, Message: message, Outcome: outcomeNotRun})
	}
	return r.Handler
}

func (s *Server) getMetrics(c *fasthttp.RequestCtx) {
	if s.WriteMetrics == nil {
		writeProblem(c, problem{Code: codeNotFound, Message: "this entry VM has no metrics", Outcome: outcomeNotRun})
		return
	}
	c.SetContentType("text/plain; version=0.0.4")
	if err := s.WriteMetrics(c); err != nil {
		c.Error("the metrics can't be written", http.StatusInternalServerError)
	}
}

// getHealth is the health check of load balancers. It fails from the start of a planned stop.
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
