package command_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pistachiolead/pistachiolead/command"
)

const inputCatalogue = `pools:
  - {name: main, budget: 1}
  - {name: spare, spare: true, budget: 1}
teams:
  - {name: studio, share: 1, limit: 16}
entries:
  - {name: proof, owner: studio, class: interactive, pool: main, open: true, idempotent: true, shape: {processors: 1, memory: 256MiB}, max-payload: 1KiB}
  - {name: plate, owner: studio, class: interactive, pool: main, open: true, shape: {processors: 1, memory: 256MiB}}
`

// refusedRequest is an HTTP request, and the status, code and outcome of the error response that it must get.
type refusedRequest struct {
	method, path, body string
	status             int
	code, outcome      string
}

// Guards against invalid input over HTTP or on the command line that is accepted, that is refused with another code
// than the documented one, or that crashes a process.
func TestInvalidInputIsRefused(t *testing.T) {
	t.Parallel()
	f := startTestFleet(t, fleetPlan{zones: []string{"a"}, catalogue: inputCatalogue, settings: "limits:\n  body: 64KiB\n"})
	secret, revoked := f.grant("studio")
	old, oldID := f.grant("studio")
	f.change(f.admin, "key", "revoke", oldID)

	f.step("HTTP, submitter", func(t *testing.T) { f.expectRefusals(t, secret, submitterCases()) })
	f.step("HTTP, oversized body", func(t *testing.T) {
		for _, size := range []int{70 << 10, 1 << 20, 20 << 20} {
			body := fmt.Sprintf(`{"entry":"plate","payload":%q}`, strings.Repeat("x", size))
			f.expectRefusals(t, secret, []refusedRequest{{"POST", "/v1/calls", body, 413, "body-too-large", "not-run"}})
		}
	})
	f.step("HTTP, administrator", func(t *testing.T) { f.expectRefusals(t, f.admin, adminCases()) })
	f.step("HTTP, invalid keys and roles", func(t *testing.T) {
		for key, code := range map[string]string{"": "unknown-key", "x": "unknown-key", old: "revoked-key", revoked: "unknown-key"} {
			status := map[string]int{"unknown-key": 401, "revoked-key": 403}[code]
			f.expectRefusals(t, key, []refusedRequest{
				{"POST", "/v1/calls", `{"entry":"proof"}`, status, code, "not-run"},
				{"PUT", "/v1/zones/a", `{"state":"out"}`, status, code, "not-run"},
				{"GET", "/v1/status", "", status, code, "not-run"},
			})
		}
		f.expectRefusals(t, secret, []refusedRequest{
			{"PUT", "/v1/zones/a", `{"state":"out"}`, 403, "role-not-allowed", "not-run"},
			{"POST", "/v1/keys", `{"team":"studio","role":"admin"}`, 403, "role-not-allowed", "not-run"},
			{"DELETE", "/v1/keys/" + oldID, "", 403, "role-not-allowed", "not-run"},
		})
	})
	f.step("reused request ids", func(t *testing.T) { f.reuseRequestIDs(t, secret) })
	f.step("a refused zone out changes nothing", func(t *testing.T) {
		f.expectRefusals(t, f.admin, []refusedRequest{{"PUT", "/v1/zones/a", `{"state":"out"}`, 409, "budget-exceeded", "not-run"}})
		for _, m := range f.entryVMs {
			s, err := f.status(m)
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(s.Zones), "[{a in}]", m.id)
		}
		f.run(command.ExitOK, secret, "call", "proof")
	})
	f.step("an unknown zone is refused", func(t *testing.T) {
		f.expectRefusals(t, f.admin, []refusedRequest{{"PUT", "/v1/zones/nowhere", `{"state":"out"}`, 422, "invalid", "not-run"}})
	})
	f.step("explanations store nothing", func(t *testing.T) { f.explainOnly(t, secret) })
	f.step("invalid HTTP", f.sendInvalidHTTP)
	f.step("commands", func(t *testing.T) { f.checkInvalidCommands(t, secret) })
	f.step("all entry VMs still serve", func(*testing.T) {
		for _, m := range f.entryVMs {
			assert.Equal(f.t, f.runAt([]string{m.address}, secret, "call", "proof").code, command.ExitOK)
			assert.Equal(f.t, f.runAt([]string{m.address}, f.admin, "status").code, command.ExitOK)
		}
	})
}

// submitterCases returns requests that must be refused although the key is that of a submitter.
func submitterCases() []refusedRequest {
	cases := []refusedRequest{
		{"POST", "/v1/calls", fmt.Sprintf(`{"entry":"proof","payload":%q}`, strings.Repeat("x", 2<<10)), 413, "body-too-large", "not-run"},
		{"POST", "/v1/jobs", `{"entry":"nothing"}`, 404, "unknown-entry", "not-run"},
		{"GET", "/v1/calls", "", 405, "method-not-allowed", "not-run"},
		{"PATCH", "/v1/catalogue", "", 405, "method-not-allowed", "not-run"},
		{"GET", "/v2/calls", "", 404, "not-found", "not-run"},
		{"GET", "/v1/jobs/nothing", "", 404, "unknown-request", "unknown"},
		{"GET", "/v1/requests/nothing", "", 404, "unknown-request", "unknown"},
		{"DELETE", "/v1/requests/nothing", "", 404, "unknown-request", "not-run"},
		{"GET", "/v1/jobs/a.b", "", 400, "invalid-request", "not-run"},
	}
	for _, body := range []string{
		``, `{`, `[]`, `null`, `"proof"`, `{"entry":5}`, `{"entry":""}`, `{"entry":"proof","colour":"red"}`, `{"entry":"proof"} {}`,
		`{"entry":"proof"}}`, `{"entry":"proof","payload":{]}`, `{"entry":"proof","deadline-ms":-1}`,
		`{"entry":"proof","deadline-ms":1.5}`, `{"entry":"proof","deadline-ms":9223372036854775807}`,
		`{"entry":"proof","deadline-ms":1e400}`, `{"entry":"proof","request-id":"../x"}`,
		`{"entry":"proof","request-id":"` + strings.Repeat("x", 65) + `"}`,
	} {
		cases = append(cases, refusedRequest{"POST", "/v1/calls", body, 400, "invalid-request", "not-run"})
		cases = append(cases, refusedRequest{"POST", "/v1/jobs", body, 400, "invalid-request", "not-run"})
	}
	for _, body := range []string{
		`{"entry":"proof"}`, `{"kind":"task","entry":"proof"}`, `{"kind":"call"}`, `{"kind":"call","entry":"proof","colour":"red"}`,
		`{"kind":"call","entry":"proof","deadline-ms":-1}`, `{"kind":"call","entry":"proof","deadline-ms":86400001}`,
	} {
		cases = append(cases, refusedRequest{"POST", "/v1/explanations", body, 400, "invalid-request", "not-run"})
	}
	cases = append(cases,
		refusedRequest{"POST", "/v1/explanations", `{"kind":"job","entry":"nothing"}`, 404, "unknown-entry", "not-run"},
		refusedRequest{"POST", "/v1/explanations", `{"kind":"job","entry":"proof","team":"press"}`, 403, "role-not-allowed", "not-run"})
	for _, wait := range []string{"-1", "x", "1.5", "60001", "99999999999999999999"} {
		cases = append(cases, refusedRequest{"GET", "/v1/jobs/nothing?wait-ms=" + wait, "", 400, "invalid-request", "not-run"})
	}
	return cases
}

// adminCases returns requests that must be refused although the key is that of an administrator.
func adminCases() []refusedRequest {
	cases := []refusedRequest{
		{"GET", "/v1/changes/999999", "", 404, "unknown-version", "not-run"},
		{"PUT", "/v1/vms/nothing", `{"state":"out"}`, 422, "invalid", "not-run"},
		{"PUT", "/v1/vms/backend-a-1", `{"pool":"nothing"}`, 422, "invalid", "not-run"},
		{"DELETE", "/v1/keys/nothing", "", 404, "not-found", "not-run"},
		{"POST", "/v1/keys", `{"team":"nobody","role":"submitter"}`, 422, "invalid", "not-run"},
		{"PUT", "/v1/catalogue", documentBody(1, inputCatalogue), 409, "conflict", "not-run"},
		{"PUT", "/v1/catalogue", documentBody(1<<62, inputCatalogue), 409, "conflict", "not-run"},
	}
	for path, bodies := range map[string][]string{
		"/v1/zones/a":         {``, `{}`, `{"state":"sideways"}`, `{"state":"out","why":1}`},
		"/v1/vms/backend-a-1": {``, `{}`, `{"state":"sideways"}`, `{"state":5}`},
		"/v1/catalogue": {
			``, `{}`, documentBody(1, "pools: ["), documentBody(1, "pols: []"), documentBody(1, "pools: [{name: main, budget: -1}]"),
			documentBody(1, "pools: [{name: main, budget: 99999999999999999999}]"), `{"base-version":-1,"document":""}`,
		},
	} {
		for _, body := range bodies {
			cases = append(cases, refusedRequest{"PUT", path, body, 400, "invalid-request", "not-run"})
		}
	}
	for _, body := range []string{
		`{"team":"studio","role":"king"}`, `{"team":"studio"}`, `{"team":"studio","role":"submitter","expires-in-ms":-1}`,
		`{"team":"studio","role":"submitter","expires-in-ms":9223372036854775807}`, `{"team":"","role":"submitter"}`,
	} {
		cases = append(cases, refusedRequest{"POST", "/v1/keys", body, 400, "invalid-request", "not-run"})
	}
	for _, version := range []string{"-1", "x", "99999999999999999999"} {
		cases = append(cases, refusedRequest{"GET", "/v1/changes/" + version, "", 400, "invalid-request", "not-run"})
	}
	return cases
}

// documentBody returns the JSON body of a request that replaces the catalogue.
func documentBody(base uint64, document string) string {
	return fmt.Sprintf(`{"base-version":%d,"document":%q}`, base, document)
}

// expectRefusals sends each request to the next of the entry VMs and checks the error responses.
func (f *testFleet) expectRefusals(t *testing.T, key string, cases []refusedRequest) {
	t.Helper()
	for i, c := range cases {
		status, code, outcome, text := f.send(t, f.entryVMs[i%len(f.entryVMs)], key, c)
		assert.Check(t, status == c.status && code == c.code && outcome == c.outcome,
			"%s %s %.80s: want %d %s %s, got %d %s", c.method, c.path, c.body, c.status, c.code, c.outcome, status, text)
	}
}

// send sends a request to an entry VM. It returns the HTTP status, the code and the outcome of an error response, and
// the body. The status is 0 if there was no response.
func (f *testFleet) send(t *testing.T, m *entryVM, key string, c refusedRequest) (status int, code, outcome, text string) {
	t.Helper()
	req, err := http.NewRequest(c.method, "http://"+m.address+c.path, strings.NewReader(c.body))
	assert.NilError(t, err)
	req.Header.Set("Pistachiolead-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var p struct{ Code, Message, Outcome string }
	if json.Unmarshal(data, &p) != nil || p.Message == "" {
		return resp.StatusCode, "", "", string(data)
	}
	return resp.StatusCode, p.Code, p.Outcome, string(data)
}

// reuseRequestIDs submits requests under the ids of earlier requests that differ from them.
func (f *testFleet) reuseRequestIDs(t *testing.T, secret string) {
	for _, path := range []string{"/v1/calls", "/v1/jobs"} {
		id := "again" + path[4:]
		first := refusedRequest{"POST", path, fmt.Sprintf(`{"entry":"plate","request-id":%q,"payload":1}`, id), 0, "", ""}
		status, _, _, text := f.send(t, f.entryVMs[0], secret, first)
		assert.Assert(t, status < 300, text)
		// While the answer of the first request isn't recorded, one with the same id is refused as in progress.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			_, _, _, text := f.send(t, f.entryVMs[0], secret, refusedRequest{"GET", "/v1/requests/" + id, "", 0, "", ""})
			if !strings.Contains(text, `"done"`) {
				return poll.Continue("%s", text)
			}
			return poll.Success()
		}, poll.WithTimeout(takeoverBound), poll.WithDelay(pollDelay))
		for _, body := range []string{`{"entry":"plate","request-id":%q,"payload":2}`, `{"entry":"plate","request-id":%q}`} {
			f.expectRefusals(t, secret, []refusedRequest{
				{"POST", path, fmt.Sprintf(body, id), 409, "request-id-reused", "not-run"},
				{"POST", path, fmt.Sprintf(body, id), 409, "request-id-reused", "not-run"},
			})
		}
	}
}

// explainOnly explains a call and a job, and checks that neither is known or stored after that.
func (f *testFleet) explainOnly(t *testing.T, secret string) {
	job := f.file("job.json", `{"entry":"plate","request-id":"explained","payload":1}`)
	for _, args := range [][]string{
		{"explain", "plate", "--request-id", "explained"}, {"explain", "--job", job}, {"explain", "--job", job, "-o", "json"},
	} {
		o := f.runAt(f.addresses(), secret, args...)
		assert.Check(t, o.code == command.ExitOK && strings.Contains(o.out, "accepted"), "%v: %+v", args, o)
	}
	assert.Check(t, strings.Contains(f.run(command.ExitOK, f.admin, "explain", "--job", job, "--team", "studio").out, "team studio"))
	f.expectRefusals(t, secret, []refusedRequest{
		{"GET", "/v1/requests/explained", "", 404, "unknown-request", "unknown"},
		{"GET", "/v1/jobs/explained", "", 404, "unknown-request", "unknown"},
	})
}

// sendInvalidHTTP sends bytes that aren't a valid HTTP request to every listener, and bodies that aren't valid JSON to
// the platform.
func (f *testFleet) sendInvalidHTTP(t *testing.T) {
	addresses := []string{f.platform}
	for _, m := range f.entryVMs {
		addresses = append(addresses, m.address, m.peers)
	}
	for _, a := range addresses {
		for _, text := range []string{"\x16\x03\x01\x00\xff\x00\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "POST /v1/calls HTTP/1.1\r\nContent-Length: -5\r\n\r\n"} {
			c, err := net.Dial("tcp", a)
			assert.NilError(t, err, a)
			_, _ = io.WriteString(c, text)
			assert.NilError(t, c.(*net.TCPConn).CloseWrite())
			_, _ = io.ReadAll(c)
			_ = c.Close()
		}
	}
	for _, path := range []string{"/table/commit", "/objects/put", "/faults/table"} {
		resp, err := http.Post("http://"+f.platform+path, "application/json", strings.NewReader("{"))
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, path)
	}
}

// checkInvalidCommands runs commands that must fail, and checks their exit codes.
func (f *testFleet) checkInvalidCommands(t *testing.T, secret string) {
	good, err := os.ReadFile(f.dir + "/entry-a-1.yaml")
	assert.NilError(t, err)
	for i, change := range []string{
		"drain-timeout: 20\n", "drain-timeout: 20 minutes\n", "drain-timeout: -1s\n", "lease: {duration: 6}\n",
		"queue-bound: -1\n", "queue-bound: 99999999999999999999\n", "colour: red\n", "lease: [\n",
	} {
		file := f.file(fmt.Sprintf("bad-%d.yaml", i), string(good)+change)
		for _, args := range [][]string{{"serve", "--settings", file}, {"check", "--settings", file}, {"platform", "--file", file}} {
			f.expectFailure(t, command.ExitUsage, "", args...)
		}
	}
	first, bad, unknown := f.dir+"/first.yaml", f.file("bad.yaml", "pools: ["), f.file("unknown.yaml", "pols: []\n")
	for _, args := range [][]string{
		{"serve", "--settings", "missing.yaml"},
		{"serve"},
		{"nonsense"},
		{"status", "--nonsense"},
		{"zone", "nonsense"},
		{"apply"},
		{"apply", bad},
		{"apply", unknown},
		{"apply", "missing.yaml"},
		{"diff", bad},
		{"check"},
		{"change", "x"},
		{"zone", "out"},
		{"vm", "move", "backend-a-1"},
		{"call", "proof", "--payload", "{"},
		{"call", "proof", "--deadline", "5"},
		{"explain"},
		{"explain", "proof", "--payload", "{"},
		{"explain", "--job", "missing.json"},
		{"explain", "--job", f.file("text.json", `{"entry":"proof","deadline-ms":"5s"}`)},
		{"explain", "--job", f.file("field.json", `{"entry":"proof","colour":"red"}`)},
		{"explain", "--job", f.file("good.json", `{"entry":"proof"}`), "proof"},
		{"explain", "--leader", f.platform, "proof"},
		{"explain", "--leader", f.platform, "--job", f.file("good.json", "{}")},
		{"status", "-o", "xml"},
		{"init", "--table", f.platform, "--catalogue", bad},
		{"local", "--zones", "-1"},
	} {
		f.expectFailure(t, command.ExitUsage, f.admin, args...)
	}
	f.expectFailure(t, command.ExitUsage, "", "status")
	for _, args := range [][]string{
		{"init", "--table", f.platform},
		{"init", "--table", f.platform, "--catalogue", first},
		{"init", "--table", freeAddress(t)},
		{"apply", "--base-version", "1", first},
		{"key", "grant", "--team", "nobody"},
		{"key", "grant", "--team", "studio", "--role", "king"},
		{"key", "revoke", "nothing"},
		{"vm", "out", "nothing"},
		{"vm", "move", "backend-a-1", "--pool", "nothing"},
		{"change", "999999"},
	} {
		f.expectFailure(t, command.ExitNotRun, f.admin, args...)
	}
	f.expectFailure(t, command.ExitNotRun, secret, "call", "nothing")
	f.expectFailure(t, command.ExitNotRun, secret, "call", "proof", "--deadline", "-5s")
	f.expectFailure(t, command.ExitUnknown, secret, "wait", "nothing", "--for", "1s")
	assert.Equal(t, f.runAt([]string{freeAddress(t)}, secret, "call", "proof", "--timeout", time.Second.String()).code, command.ExitError)
}

// expectFailure runs a command and checks that it fails with the exit code and a message.
func (f *testFleet) expectFailure(t *testing.T, code int, key string, args ...string) {
	t.Helper()
	o := f.runAt(f.addresses(), key, args...)
	assert.Check(t, o.code == code && len(o.err) > 0, "%v: want %d, got %+v", args, code, o)
}
