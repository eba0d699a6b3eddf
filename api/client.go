package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Client sends requests to the HTTP servers of entry VMs. Set its exported fields before use. Methods return an *Error
// for an error response, and other errors if there was no valid response.
type Client struct {
	// Addresses are the host:port of entry VMs. Requests go to the first that can be reached, except where a method
	// says that it sends them to all.
	Addresses []string
	// Key is the secret of the caller's key.
	Key string
	// Timeout limits how long a request may take, in addition to the waiting time of GetJob. It doesn't apply to calls
	// with a deadline and to changes, which have limits of their own. The default is 10 s.
	Timeout time.Duration

	http fasthttp.Client
}

// Error is an error response of an entry VM.
type Error struct {
	status  int
	problem problem
}

// Error returns the code, the message and whether the request ran.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.problem.Code, e.problem.Message, e.problem.Outcome)
	if e.problem.RetryAfterMS > 0 {
		text += fmt.Sprintf(", retry after %d ms", e.problem.RetryAfterMS)
	}
	return text
}

// Code returns the machine-readable code of the error.
func (e *Error) Code() string { return e.problem.Code }

// Status returns the HTTP status code, 0 if the error is part of the state of a job.
func (e *Error) Status() int { return e.status }

// Outcome returns whether the request ran: "not-run", "ran" or "unknown".
func (e *Error) Outcome() string { return e.problem.Outcome }

// RetryAfter returns the delay before a retry, 0 if a retry is of no use.
func (e *Error) RetryAfter() time.Duration {
	return time.Duration(e.problem.RetryAfterMS) * time.Millisecond
}

// RequestID returns the id of the request that the error is about, empty if there is none.
func (e *Error) RequestID() string { return e.problem.RequestID }

// Work is a call or job to submit.
type Work struct {
	// Entry is the name of an entry in the catalogue.
	Entry string
	// RequestID is chosen by the caller, 1 to 64 letters, digits, "-" and "_". If it is empty, the entry VM chooses one.
	RequestID string
	// Deadline is how long the request may take, 0 for the default.
	Deadline time.Duration
	// Payload is the input as a JSON value, empty for none.
	Payload []byte
}

func (w Work) body() ([]byte, error) {
	r, err := w.request()
	if err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

func (w Work) request() (workRequest, error) {
	if len(w.Payload) > 0 && !json.Valid(w.Payload) {
		return workRequest{}, errors.New("the payload isn't valid JSON")
	}
	return workRequest{
		Entry: w.Entry, RequestID: w.RequestID, DeadlineMS: w.Deadline.Milliseconds(), Payload: w.Payload,
	}, nil
}

// Call submits a call and returns its whole output. After an error that isn't an *Error, the call may have run.
func (c *Client) Call(w Work) ([]byte, error) {
	body, err := w.body()
	if err != nil {
		return nil, err
	}
	wait := w.Deadline
	if wait == 0 {
		wait = c.timeout()
	}
	return c.do("POST", "/v1/calls", body, wait+2*outcomeGrace)
}

// SubmitJob submits a job and returns its request id once the job is stored.
func (c *Client) SubmitJob(w Work) (requestID string, err error) {
	body, err := w.body()
	if err != nil {
		return "", err
	}
	data, err := c.do("POST", "/v1/jobs", body, c.timeout())
	if err != nil {
		return "", err
	}
	var a jobAccepted
	return a.RequestID, errors.Wrap(json.Unmarshal(data, &a), "decode the response")
}

// JobStatus is the state of a job, or of a call that was queried or cancelled by its id.
type JobStatus struct {
	state jobState
	text  []byte // the response body
}

// State returns "accepted", "done", "failed", "not-run" or "unknown", and "ran" for a call that ran and failed.
func (j JobStatus) State() string { return j.state.State }

// Finished reports whether the job has ended.
func (j JobStatus) Finished() bool { return j.state.State != jobAcceptedState }

// Output returns the output if the state is "done".
func (j JobStatus) Output() []byte { return j.state.Output }

// JSON returns the response body as it was received.
func (j JobStatus) JSON() []byte { return j.text }

// Problem returns an *Error that says why the job didn't succeed, nil if it succeeded or hasn't ended.
func (j JobStatus) Problem() error {
	if j.state.Problem == nil {
		return nil
	}
	return &Error{problem: *j.state.Problem}
}

// GetJob returns the state of a job. It waits at most the given time for the job to end.
func (c *Client) GetJob(id string, wait time.Duration) (JobStatus, error) {
	path := fmt.Sprintf("/v1/jobs/%s?wait-ms=%d", url.PathEscape(id), wait.Milliseconds())
	return c.job("GET", path, wait)
}

// GetRequest returns the outcome of a request by its id.
func (c *Client) GetRequest(id string) (JobStatus, error) {
	return c.job("GET", "/v1/requests/"+url.PathEscape(id), 0)
}

// Cancel cancels a request and returns whether it ran.
func (c *Client) Cancel(id string) (JobStatus, error) {
	return c.job("DELETE", "/v1/requests/"+url.PathEscape(id), 0)
}

func (c *Client) job(method, path string, wait time.Duration) (JobStatus, error) {
	data, err := c.do(method, path, nil, wait+c.timeout())
	if err != nil {
		return JobStatus{}, err
	}
	j := JobStatus{text: data}
	return j, errors.Wrap(json.Unmarshal(data, &j.state), "decode the response")
}

// Catalogue is the catalogue document and its version.
type Catalogue struct {
	info catalogueInfo
	text []byte // the response body
}

// JSON returns the response body as it was received.
func (c Catalogue) JSON() []byte { return c.text }

// Version returns the configuration version.
func (c Catalogue) Version() uint64 { return c.info.Version }

// Document returns the catalogue as YAML.
func (c Catalogue) Document() string { return c.info.Document }

// LastChange returns what the last change of the configuration was, by whom and when, as text.
func (c Catalogue) LastChange() string {
	return fmt.Sprintf("%s by %s at %s", c.info.What, c.info.By, c.info.When)
}

// GetCatalogue returns the catalogue.
func (c *Client) GetCatalogue() (Catalogue, error) {
	data, err := c.do("GET", "/v1/catalogue", nil, c.timeout())
	if err != nil {
		return Catalogue{}, err
	}
	var info catalogueInfo
	err = json.Unmarshal(data, &info)
	return Catalogue{info: info, text: data}, errors.Wrap(err, "decode the response")
}

// ChangeStatus is the state of a configuration change.
type ChangeStatus struct {
	state changeState
	text  []byte // the response body
}

// InForce reports whether the change is in force on every entry VM.
func (c ChangeStatus) InForce() bool { return c.state.State == stateInForce }

// State returns "in-force", "pending" or "dry-run".
func (c ChangeStatus) State() string { return c.state.State }

// Version returns the configuration version of the change.
func (c ChangeStatus) Version() uint64 { return c.state.Version }

// Stored reports whether the change is in the table.
func (c ChangeStatus) Stored() bool { return c.state.Stored }

// Awaited returns the entry VMs that haven't acknowledged the change.
func (c ChangeStatus) Awaited() []string { return c.state.Awaited }

// Difference returns the differences that a change of the catalogue makes, one a line.
func (c ChangeStatus) Difference() []string { return c.state.Difference }

// Secret returns the secret of a granted key. Only the response to the grant contains it.
func (c ChangeStatus) Secret() string { return c.state.Secret }

// KeyID returns the id of a granted key.
func (c ChangeStatus) KeyID() string {
	if c.state.Key == nil {
		return ""
	}
	return c.state.Key.ID
}

// JSON returns the response body as it was received.
func (c ChangeStatus) JSON() []byte { return c.text }

// PutCatalogue replaces the catalogue by a YAML document if the configuration version is base. A dry run only returns
// the differences.
func (c *Client) PutCatalogue(document []byte, base uint64, dryRun bool) (ChangeStatus, error) {
	return c.change("PUT", "/v1/catalogue", catalogueBody{BaseVersion: base, Document: string(document), DryRun: dryRun})
}

// GrantKey grants a key with a role (admin, owner or submitter) to a team. A lifetime of 0 means that the key doesn't
// expire.
func (c *Client) GrantKey(team, role string, lifetime time.Duration) (ChangeStatus, error) {
	return c.change("POST", "/v1/keys", keyBody{Team: team, Role: role, ExpiresMS: lifetime.Milliseconds()})
}

// RevokeKey revokes a key. The request is sent to all Addresses.
func (c *Client) RevokeKey(id string) (ChangeStatus, error) {
	return c.changeAtAll("DELETE", "/v1/keys/"+url.PathEscape(id), nil)
}

// SetZone takes an availability zone out of service or restores it. A request to take it out is sent to all Addresses.
// Force overrides the availability budgets.
func (c *Client) SetZone(name string, out, force bool) (ChangeStatus, error) {
	path, body := "/v1/zones/"+url.PathEscape(name), zoneBody{State: serviceState(out), Force: force}
	if out {
		return c.changeAtAll("PUT", path, body)
	}
	return c.change("PUT", path, body)
}

// VMUpdate is a change of a VM.
type VMUpdate struct {
	// State is "out", "in", or empty to keep the present state.
	State string
	// Pool is the new pool, or empty to keep the present pool.
	Pool string
	// Reason is recorded with the change.
	Reason string
	// Force overrides the availability budget.
	Force bool
}

// SetVM changes the state or the pool of a VM.
func (c *Client) SetVM(id string, u VMUpdate) (ChangeStatus, error) {
	return c.change("PUT", "/v1/vms/"+url.PathEscape(id), vmBody(u))
}

// GetChange returns the state of the change that made a configuration version.
func (c *Client) GetChange(version uint64) (ChangeStatus, error) {
	return c.change("GET", "/v1/changes/"+strconv.FormatUint(version, 10), nil)
}

// GetKeys returns the list of keys as JSON.
func (c *Client) GetKeys() ([]byte, error) { return c.do("GET", "/v1/keys", nil, c.timeout()) }

// GetStatus returns the status of an entry VM and its view of the fleet.
func (c *Client) GetStatus() (Status, error) {
	data, err := c.do("GET", "/v1/status", nil, c.timeout())
	if err != nil {
		return Status{}, err
	}
	st := Status{text: data}
	return st, errors.Wrap(json.Unmarshal(data, &st.info), "decode the response")
}

// ExplainCall returns what would become of a call. Nothing is submitted. The team is that of the key if it is empty;
// another one needs an administrator's key.
func (c *Client) ExplainCall(w Work, team string) (Explanation, error) {
	return c.explain(kindCall, w, team)
}

// ExplainJob returns what would become of a job, like ExplainCall.
func (c *Client) ExplainJob(w Work, team string) (Explanation, error) {
	return c.explain(kindJob, w, team)
}

func (c *Client) explain(kind string, w Work, team string) (Explanation, error) {
	r, err := w.request()
	if err != nil {
		return Explanation{}, err
	}
	body, err := json.Marshal(explanationRequest{Kind: kind, Team: team, workRequest: r})
	if err != nil {
		return Explanation{}, errors.Wrap(err, "encode the request")
	}
	data, err := c.do("POST", "/v1/explanations", body, c.timeout())
	if err != nil {
		return Explanation{}, err
	}
	e := Explanation{text: data}
	return e, errors.Wrap(json.Unmarshal(data, &e.info), "decode the response")
}

func (c *Client) change(method, path string, body any) (ChangeStatus, error) {
	data, err := encodeBody(body)
	if err != nil {
		return ChangeStatus{}, err
	}
	response, err := c.do(method, path, data, changeTimeout+outcomeGrace)
	if err != nil {
		return ChangeStatus{}, err
	}
	return readChange(response)
}

func readChange(response []byte) (ChangeStatus, error) {
	ch := ChangeStatus{text: response}
	return ch, errors.Wrap(json.Unmarshal(response, &ch.state), "decode the response")
}

// changeAtAll sends a change to every entry VM, so that one that can't communicate with the others applies it too. It
// is for changes that are safe to apply before they are stored. It returns the response with the most advanced state:
// in force, then stored, then pending. It fails only if no entry VM gave a valid response.
func (c *Client) changeAtAll(method, path string, body any) (ChangeStatus, error) {
	data, err := encodeBody(body)
	if err != nil {
		return ChangeStatus{}, err
	}
	var mostAdvanced ChangeStatus
	var lastErr error
	responded := false
	for _, address := range c.Addresses {
		response, err := c.send(address, method, path, data, changeTimeout+outcomeGrace)
		if err != nil {
			lastErr = err
			continue
		}
		ch, err := readChange(response)
		if err != nil {
			lastErr = err
			continue
		}
		if !responded || progress(ch) > progress(mostAdvanced) {
			mostAdvanced = ch
		}
		responded = true
	}
	if !responded {
		return ChangeStatus{}, lastErr
	}
	return mostAdvanced, nil
}

// progress orders the states of a change, from pending to in force.
func progress(c ChangeStatus) int {
	switch {
	case c.InForce():
		return 2
	case c.Stored():
		return 1
	default:
		return 0
	}
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return changeTimeout
}

// do sends a request to the first entry VM that can be reached and returns the response body. It tries the next one
// only after a failure to connect, when nothing was sent.
func (c *Client) do(method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.New("the client has no address of an entry VM")
	}
	var lastErr error
	for _, address := range c.Addresses {
		response, err := c.send(address, method, path, body, timeout)
		var dial *fasthttp.ErrDialWithUpstream
		if err == nil || !errors.As(err, &dial) {
			return response, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// send sends a request to one entry VM and returns the response body, or an *Error for an error response.
func (c *Client) send(address, method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set(KeyHeader, c.Key)
	req.SetBody(body)
	req.SetTimeout(timeout)
	c.http.RetryIfErr = neverRetry
	if err := c.http.Do(req, resp); err != nil {
		return nil, errors.Wrapf(err, "%s http://%s%s", method, address, path)
	}
	response := bytes.Clone(resp.Body())
	if resp.StatusCode() < 300 {
		return response, nil
	}
	e := &Error{status: resp.StatusCode()}
	if err := json.Unmarshal(response, &e.problem); err != nil {
		return nil, errors.Wrapf(io.ErrUnexpectedEOF, "%s http://%s%s: status %d without a JSON error body",
			method, address, path, resp.StatusCode())
	}
	return nil, e
}

// neverRetry prevents the HTTP client from sending a request twice. The caller decides whether a retry is safe.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
