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

// Client calls the servers of entry VMs. Its exported fields are set before use.
type Client struct {
	// Addresses are host:port of entry VMs. Requests go to the first that can be reached.
	Addresses []string
	// Key is the caller's key.
	Key string
	// Timeout bounds a request that isn't told how long to wait.
	Timeout time.Duration

	http fasthttp.Client
}

// Error is an error answer of an entry VM.
type Error struct {
	status int
	p      problem
}

// Error returns the code, the message and whether the work ran.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.p.Code, e.p.Message, e.p.Outcome)
	if e.p.RetryAfterMS > 0 {
		text += fmt.Sprintf(", retry after %d ms", e.p.RetryAfterMS)
	}
	return text
}

// Code returns the machine-readable reason.
func (e *Error) Code() string { return e.p.Code }

// Status returns the HTTP status code.
func (e *Error) Status() int { return e.status }

// Outcome returns "not-run", "ran" or "unknown".
func (e *Error) Outcome() string { return e.p.Outcome }

// RetryAfter returns when a retry makes sense, 0 if never.
func (e *Error) RetryAfter() time.Duration { return time.Duration(e.p.RetryAfterMS) * time.Millisecond }

// RequestID returns the id of the request that the error is about, empty if there is none.
func (e *Error) RequestID() string { return e.p.RequestID }

// Work is a call or job to submit.
type Work struct {
	// Entry is the name of the catalogue entry.
	Entry string
	// RequestID may be empty.
	RequestID string
	// Deadline is how long to wait, 0 for the default.
	Deadline time.Duration
	// Payload is a JSON value, empty for none.
	Payload []byte
}

func (w Work) body() ([]byte, error) {
	if len(w.Payload) > 0 && !json.Valid(w.Payload) {
		return nil, errors.New("the payload isn't valid JSON")
	}
	return json.Marshal(workRequest{
		Entry: w.Entry, RequestID: w.RequestID, DeadlineMS: w.Deadline.Milliseconds(), Payload: w.Payload,
	})
}

// Call submits a call and returns its whole answer. An error that isn't an *Error leaves open whether the work ran.
func (c *Client) Call(w Work) ([]byte, error) {
	body, err := w.body()
	if err != nil {
		return nil, err
	}
	wait := w.Deadline
	if wait == 0 {
		wait = c.timeout()
	}
	return c.do("POST", "/v1/calls", body, wait+2*callSlack)
}

// SubmitJob submits a job. It returns the answer, which holds the request id.
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
	return a.RequestID, errors.Wrap(json.Unmarshal(data, &a), "read the answer")
}

// Job is the state of a job.
type Job struct {
	st   jobState
	text []byte
}

// State returns "accepted", "done", "failed", "not-run" or "unknown".
func (j Job) State() string { return j.st.State }

// Finished reports whether the job has ended.
func (j Job) Finished() bool { return j.st.State != jobAcceptedState }

// Output returns the output of a job that is done.
func (j Job) Output() []byte { return j.st.Output }

// JSON returns the answer as it was received.
func (j Job) JSON() []byte { return j.text }

// Problem returns why the job didn't succeed, nil if it did or hasn't ended.
func (j Job) Problem() error {
	if j.st.Problem == nil {
		return nil
	}
	return &Error{p: *j.st.Problem}
}

// GetJob returns the state of a job, waiting for its end for at most the given time.
func (c *Client) GetJob(id string, wait time.Duration) (Job, error) {
	path := fmt.Sprintf("/v1/jobs/%s?wait-ms=%d", url.PathEscape(id), wait.Milliseconds())
	return c.job("GET", path, wait)
}

// GetRequest returns the outcome of a request by its id.
func (c *Client) GetRequest(id string) (Job, error) {
	return c.job("GET", "/v1/requests/"+url.PathEscape(id), 0)
}

// Cancel cancels a request.
func (c *Client) Cancel(id string) (Job, error) {
	return c.job("DELETE", "/v1/requests/"+url.PathEscape(id), 0)
}

func (c *Client) job(method, path string, wait time.Duration) (Job, error) {
	data, err := c.do(method, path, nil, wait+c.timeout())
	if err != nil {
		return Job{}, err
	}
	j := Job{text: data}
	return j, errors.Wrap(json.Unmarshal(data, &j.st), "read the answer")
}

// Catalogue is the catalogue document and its version.
type Catalogue struct {
	info catalogueInfo
	text []byte
}

// JSON returns the answer as it was received.
func (c Catalogue) JSON() []byte { return c.text }

// Version returns the configuration version.
func (c Catalogue) Version() uint64 { return c.info.Version }

// Document returns the catalogue as YAML.
func (c Catalogue) Document() string { return c.info.Document }

// LastChange returns who made the last change, when, and what it was.
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
	return Catalogue{info: info, text: data}, errors.Wrap(err, "read the answer")
}

// Change is how far a configuration change has come.
type Change struct {
	st   changeState
	text []byte
}

// InForce reports whether the change is in force on every entry VM.
func (c Change) InForce() bool { return c.st.State == stateInForce }

// State returns "in-force", "pending" or "dry-run".
func (c Change) State() string { return c.st.State }

// Version returns the configuration version of the change.
func (c Change) Version() uint64 { return c.st.Version }

// Stored reports whether the change is in the table.
func (c Change) Stored() bool { return c.st.Stored }

// Awaited returns the entry VMs that haven't acknowledged the change.
func (c Change) Awaited() []string { return c.st.Awaited }

// Difference returns what a catalogue change changes, a line each.
func (c Change) Difference() []string { return c.st.Difference }

// Secret returns the secret of a granted key. It is shown only once.
func (c Change) Secret() string { return c.st.Secret }

// KeyID returns the id of a granted key.
func (c Change) KeyID() string {
	if c.st.Key == nil {
		return ""
	}
	return c.st.Key.ID
}

// JSON returns the answer as it was received.
func (c Change) JSON() []byte { return c.text }

// PutCatalogue replaces the catalogue if its version is base. A dry run only returns the difference.
func (c *Client) PutCatalogue(document []byte, base uint64, dryRun bool) (Change, error) {
	return c.change("PUT", "/v1/catalogue", catalogueBody{BaseVersion: base, Document: string(document), DryRun: dryRun})
}

// GrantKey grants a key to a team. A life of 0 stands for no end.
func (c *Client) GrantKey(team, role string, life time.Duration) (Change, error) {
	return c.change("POST", "/v1/keys", keyBody{Team: team, Role: role, ExpiresMS: life.Milliseconds()})
}

// RevokeKey revokes a key on every entry VM that can be reached.
func (c *Client) RevokeKey(id string) (Change, error) {
	return c.changeEverywhere("DELETE", "/v1/keys/"+url.PathEscape(id), nil)
}

// SetZone takes an availability zone out or brings it back. A take-out is sent to every entry VM.
func (c *Client) SetZone(name string, out, force bool) (Change, error) {
	path, body := "/v1/zones/"+url.PathEscape(name), zoneBody{State: inOrOut(out), Force: force}
	if out {
		return c.changeEverywhere("PUT", path, body)
	}
	return c.change("PUT", path, body)
}

// VMUpdate is a change of a VM.
type VMUpdate struct {
	// State is "out", "in", or empty to leave it.
	State string
	// Pool is the new pool, or empty to leave it.
	Pool string
	// Reason is recorded.
	Reason string
	// Force overrides the availability budget.
	Force bool
}

// SetVM changes a VM.
func (c *Client) SetVM(id string, u VMUpdate) (Change, error) {
	return c.change("PUT", "/v1/vms/"+url.PathEscape(id), vmBody(u))
}

// GetChange returns how far a configuration version has come.
func (c *Client) GetChange(version uint64) (Change, error) {
	return c.change("GET", "/v1/changes/"+strconv.FormatUint(version, 10), nil)
}

// GetKeys returns the list of keys as JSON.
func (c *Client) GetKeys() ([]byte, error) { return c.do("GET", "/v1/keys", nil, c.timeout()) }

// GetStatus returns the status of an entry VM and of the fleet as it sees it.
func (c *Client) GetStatus() (Status, error) {
	data, err := c.do("GET", "/v1/status", nil, c.timeout())
	if err != nil {
		return Status{}, err
	}
	st := Status{text: data}
	return st, errors.Wrap(json.Unmarshal(data, &st.info), "read the answer")
}

func (c *Client) change(method, path string, body any) (Change, error) {
	data, err := encodeBody(body)
	if err != nil {
		return Change{}, err
	}
	answer, err := c.do(method, path, data, changeTimeout+callSlack)
	if err != nil {
		return Change{}, err
	}
	return readChange(answer)
}

func readChange(answer []byte) (Change, error) {
	ch := Change{text: answer}
	return ch, errors.Wrap(json.Unmarshal(answer, &ch.st), "read the answer")
}

// changeEverywhere sends a change that is safe to apply early to every entry VM, so that one that is cut off from the
// others applies it too. It returns the answer that says most: in force, then stored, then pending.
func (c *Client) changeEverywhere(method, path string, body any) (Change, error) {
	data, err := encodeBody(body)
	if err != nil {
		return Change{}, err
	}
	var best Change
	var last error
	reached := false
	for _, address := range c.Addresses {
		answer, err := c.send(address, method, path, data, changeTimeout+callSlack)
		if err != nil {
			last = err
			continue
		}
		ch, err := readChange(answer)
		if err != nil {
			last = err
			continue
		}
		if !reached || rank(ch) > rank(best) {
			best = ch
		}
		reached = true
	}
	if !reached {
		return Change{}, last
	}
	return best, nil
}

func rank(c Change) int {
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

// do sends a request to the first entry VM that can be reached. Another one is tried only if nothing was sent.
func (c *Client) do(method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.New("no address of an entry VM is given")
	}
	var last error
	for _, address := range c.Addresses {
		answer, err := c.send(address, method, path, body, timeout)
		var dial *fasthttp.ErrDialWithUpstream
		if err == nil || !errors.As(err, &dial) {
			return answer, err
		}
		last = err
	}
	return nil, last
}

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
	answer := bytes.Clone(resp.Body())
	if resp.StatusCode() < 300 {
		return answer, nil
	}
	e := &Error{status: resp.StatusCode()}
	if err := json.Unmarshal(answer, &e.p); err != nil {
		return nil, errors.Wrapf(io.ErrUnexpectedEOF, "status %d without an error body", resp.StatusCode())
	}
	return nil, e
}

// neverRetry keeps the HTTP client from sending a request twice: whether a repetition is safe is decided elsewhere.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
