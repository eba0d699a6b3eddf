package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
)

// workRequest is the JSON body of a request that submits a call or a job.
type workRequest struct {
	Entry      string          `json:"entry"`
	RequestID  string          `json:"request-id,omitempty"`
	DeadlineMS int64           `json:"deadline-ms,omitempty"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// jobAccepted is the JSON body of the response to a job that was accepted.
type jobAccepted struct {
	RequestID string `json:"request-id"`
	State     string `json:"state"`
}

// jobState is the JSON body of the response to a query about a job or a call, or to a cancellation.
type jobState struct {
	RequestID string          `json:"request-id"`
	Entry     string          `json:"entry"`
	State     string          `json:"state"`
	Output    json.RawMessage `json:"output,omitempty"`
	Problem   *problem        `json:"problem,omitempty"`
}

// Values of the field "state" of a job.
const (
	jobAcceptedState = "accepted"
	jobDoneState     = "done"
	jobFailedState   = "failed"
	jobNotRunState   = "not-run"
	jobUnknownState  = "unknown"
)

func (s *Server) call(c *fasthttp.RequestCtx) {
	r, caller, ok := s.readWork(c, dispatch.KindCall)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(c, r.Deadline().Add(outcomeGrace))
	defer cancel()
	o := s.VM.Submit(ctx, r)
	id := caller.local(r.ID())
	c.Response.Header.Set(RequestHeader, id)
	if a, answered := o.(dispatch.Answered); answered && a.OK() {
		c.SetContentType(contentJSON)
		c.SetBody(a.Output())
		return
	}
	writeProblem(c, problemOf(id, o))
}

func (s *Server) submitJob(c *fasthttp.RequestCtx) {
	r, caller, ok := s.readWork(c, dispatch.KindJob)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c, changeTimeout)
	defer cancel()
	o := s.VM.Submit(ctx, r)
	id := caller.local(r.ID())
	if _, accepted := o.(dispatch.Accepted); accepted {
		writeJSON(c, http.StatusAccepted, jobAccepted{RequestID: id, State: jobAcceptedState})
		return
	}
	writeProblem(c, problemOf(id, o))
}

// readWork reads and authorizes a call or a job. If it can't be accepted, it writes the error response and returns
// false.
func (s *Server) readWork(c *fasthttp.RequestCtx, kind dispatch.Kind) (dispatch.Request, caller, bool) {
	var body workRequest
	if err := s.decode(c, &body); err != nil {
		writeInvalid(c, err.Error())
		return dispatch.Request{}, caller{}, false
	}
	if message := body.check(); message != "" {
		writeInvalid(c, message)
		return dispatch.Request{}, caller{}, false
	}
	now := s.VM.Now()
	secret := string(c.Request.Header.Peek(KeyHeader))
	switch a := catalogue.Authorize(s.VM.Configuration(), secret, body.Entry, now).(type) {
	case catalogue.Allowed:
		return s.request(c, kind, body, a, now)
	case catalogue.Denied:
		writeDenied(c, a)
	}
	return dispatch.Request{}, caller{}, false
}

// request checks a body against its catalogue entry and returns the request to submit. If the check fails, it writes
// the error response and returns false.
func (s *Server) request(
	c *fasthttp.RequestCtx, kind dispatch.Kind, body workRequest, a catalogue.Allowed, now time.Time,
) (dispatch.Request, caller, bool) {
	who := caller{team: a.Key().Team(), key: a.Key()}
	r, p := body.request(kind, a.Entry(), who, now)
	if p != nil {
		writeProblem(c, *p)
		return dispatch.Request{}, caller{}, false
	}
	return r, who, true
}

// request checks a body against its catalogue entry and returns the request, or the problem if the check fails.
func (w workRequest) request(
	kind dispatch.Kind, e catalogue.Entry, who caller, now time.Time,
) (dispatch.Request, *problem) {
	if len(w.Payload) > e.MaxPayload() {
		return dispatch.Request{}, &problem{
			Code: codeBodyTooLarge, Outcome: outcomeNotRun,
			Message: fmt.Sprintf("the payload has %d bytes; the entry allows %d", len(w.Payload), e.MaxPayload()),
		}
	}
	deadline, message := w.deadline(kind, e, now)
	if message != "" {
		return dispatch.Request{}, &problem{Code: codeInvalidRequest, Message: message, Outcome: outcomeNotRun}
	}
	id, callerChoseID := w.RequestID, w.RequestID != ""
	if !callerChoseID {
		id = uuid.NewString()
	}
	payload := bytes.Clone(w.Payload)
	return dispatch.NewRequest(
		who.global(id), kind, w.Entry, who.team, who.key.ID(), payload, deadline, 0, callerChoseID,
	), nil
}

// check returns what is wrong with the body, empty if nothing is.
func (w workRequest) check() string {
	switch {
	case w.Entry == "":
		return `the field "entry" is missing`
	case w.RequestID != "" && !validID(w.RequestID):
		return fmt.Sprintf(`the field "request-id" is %q; allowed are 1 to %d letters, digits, "-" and "_"`,
			w.RequestID, maxIDLength)
	case w.DeadlineMS < 0 || w.DeadlineMS > maxDeadline.Milliseconds():
		return fmt.Sprintf(`the field "deadline-ms" is %d; allowed are 0 to %d`, w.DeadlineMS, maxDeadline.Milliseconds())
	default:
		return ""
	}
}

// deadline returns the deadline of the request, zero for a job whose caller set none. The second result says what is
// wrong with the field, empty if nothing is.
func (w workRequest) deadline(kind dispatch.Kind, e catalogue.Entry, now time.Time) (time.Time, string) {
	d := time.Duration(w.DeadlineMS) * time.Millisecond
	if d > e.MaxDeadline() {
		return time.Time{}, fmt.Sprintf(`the field "deadline-ms" is %d; the entry allows at most %d`,
			w.DeadlineMS, e.MaxDeadline().Milliseconds())
	}
	if d == 0 && kind == dispatch.KindJob {
		return time.Time{}, ""
	}
	if d == 0 {
		d = min(dispatch.DefaultCallTimeout, e.MaxDeadline())
	}
	return now.Add(d), ""
}

// validID reports whether a request id has 1 to maxIDLength letters, digits, "-" and "_".
func validID(id string) bool {
	if len(id) == 0 || len(id) > maxIDLength {
		return false
	}
	return strings.IndexFunc(id, func(r rune) bool {
		letter := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
		return !letter && (r < '0' || r > '9') && r != '-' && r != '_'
	}) < 0
}

// caller is the sender of a request, identified by its key. Request ids are unique within a team: global adds the team
// to an id and local removes it, so that no team can refer to a request of another.
type caller struct {
	team string
	key  catalogue.Key
}

func (c caller) global(id string) string { return c.team + "." + id }

func (c caller) local(id string) string { return strings.TrimPrefix(id, c.team+".") }

// authenticate returns the sender of a query about a request, and the id in the path. If the key or the id isn't valid,
// it writes the error response and returns false.
func (s *Server) authenticate(c *fasthttp.RequestCtx) (caller, string, bool) {
	id, _ := c.UserValue("id").(string)
	secret := string(c.Request.Header.Peek(KeyHeader))
	switch a := catalogue.Authenticate(s.VM.Configuration(), secret, s.VM.Now()).(type) {
	case catalogue.Allowed:
		if !validID(id) {
			writeInvalid(c, fmt.Sprintf(`the request id is %q; allowed are 1 to %d letters, digits, "-" and "_"`, id, maxIDLength))
			return caller{}, "", false
		}
		return caller{team: a.Key().Team(), key: a.Key()}, id, true
	case catalogue.Denied:
		writeDenied(c, a)
	}
	return caller{}, "", false
}

func (s *Server) getJob(c *fasthttp.RequestCtx) {
	who, id, ok := s.authenticate(c)
	if !ok {
		return
	}
	wait, ok := s.waitOf(c)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c, wait+outcomeGrace)
	defer cancel()
	job, found, readable := s.VM.Job(ctx, who.global(id), s.VM.Now().Add(wait))
	switch {
	case !readable:
		writeProblem(c, problem{
			Code: dispatch.CodeStoreUnavailable, Message: "the job's rows can't be read from the table now",
			Outcome: outcomeUnknown, RequestID: id, RetryAfterMS: time.Second.Milliseconds(),
		})
	case !found:
		writeProblem(c, problem{
			Code: dispatch.CodeUnknownRequest, Message: "no job of your team has this id", Outcome: outcomeUnknown, RequestID: id,
		})
	default:
		writeJSON(c, http.StatusOK, jobStateOf(id, job))
	}
}

// jobStateOf returns the JSON form of a job's status.
func jobStateOf(id string, job dispatch.JobStatus) jobState {
	st := jobState{RequestID: id, Entry: job.Entry(), State: jobAcceptedState}
	if !job.Finished() {
		return st
	}
	if a, ok := job.Outcome().(dispatch.Answered); ok && a.OK() {
		st.State, st.Output = jobDoneState, jsonOf(a.Output())
		return st
	}
	p := problemOf(id, job.Outcome())
	st.Problem = &p
	switch p.Outcome {
	case outcomeRan:
		st.State = jobFailedState
	case outcomeNotRun:
		st.State = jobNotRunState
	default:
		st.State = jobUnknownState
	}
	return st
}

// jsonOf returns an output as JSON: unchanged if it is valid JSON, otherwise as a JSON string.
func jsonOf(output []byte) json.RawMessage {
	if json.Valid(output) {
		return output
	}
	data, err := json.Marshal(string(output))
	if err != nil {
		panic(err) // strings always encode
	}
	return data
}

// getRequest responds with the state of a request. It reads the claim of a non-idempotent call first, and the rows of a
// job if there is no claim.
func (s *Server) getRequest(c *fasthttp.RequestCtx) {
	who, id, ok := s.authenticate(c)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c, changeTimeout)
	defer cancel()
	o, found, readable := s.VM.Request(ctx, who.global(id))
	if found {
		if a, answered := o.(dispatch.Answered); answered && a.OK() {
			writeJSON(c, http.StatusOK, jobState{RequestID: id, State: jobDoneState, Output: jsonOf(a.Output())})
			return
		}
		p := problemOf(id, o)
		writeJSON(c, http.StatusOK, jobState{RequestID: id, State: p.Outcome, Problem: &p})
		return
	}
	if !readable {
		writeProblem(c, problem{
			Code: dispatch.CodeStoreUnavailable, Message: "the request's claim can't be read from the table now",
			Outcome: outcomeUnknown, RequestID: id, RetryAfterMS: time.Second.Milliseconds(),
		})
		return
	}
	s.getJob(c)
}

func (s *Server) cancel(c *fasthttp.RequestCtx) {
	who, id, ok := s.authenticate(c)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c, changeTimeout)
	defer cancel()
	switch o := s.VM.Cancel(ctx, who.global(id)).(type) {
	case dispatch.NotRun, dispatch.OutcomeUnknown:
		p := problemOf(id, o)
		writeJSON(c, http.StatusOK, jobState{RequestID: id, State: p.Outcome, Problem: &p})
	default:
		writeProblem(c, problemOf(id, o))
	}
}

// waitOf returns the query parameter wait-ms, 0 if it is missing. If it isn't valid, it writes the error response and
// returns false.
func (s *Server) waitOf(c *fasthttp.RequestCtx) (time.Duration, bool) {
	text := string(c.QueryArgs().Peek("wait-ms"))
	if text == "" {
		return 0, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > s.MaxWait.Milliseconds() {
		writeInvalid(c, fmt.Sprintf("the query parameter wait-ms is %q; allowed are 0 to %d", text, s.MaxWait.Milliseconds()))
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// decodeStrictly decodes one JSON object. Unknown fields and trailing data are errors.
func decodeStrictly(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("decode the body: %w", err)
	}
	// Decoder.More would also return false before a stray closing bracket, so the end of the data is checked.
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("decode the body: found data after the JSON object")
	}
	return nil
}
