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

// badRequest is a request that must be refused.
type badRequest struct {
	method, path, body string
	status             int
	code, outcome      string
}

// Guards against input that is taken for something else, that is refused without a clear reason, or that ends a
// process.
func TestBadInputIsRefused(t *testing.T) {
	t.Parallel()
	r := startRig(t, fleetPlan{zones: []string{"a"}, catalogue: inputCatalogue, settings: "limits:\n  body: 64KiB\n"})
	secret, revoked := r.grant("studio")
	old, oldID := r.grant("studio")
	r.change(r.admin, "key", "revoke", oldID)

	r.step("HTTP, submitter", func(t *testing.T) { r.refuse(t, secret, submitterCases()) })
	r.step("HTTP, oversized body", func(t *testing.T) {
		for _, size := range []int{70 << 10, 1 << 20, 20 << 20} {
			body := fmt.Sprintf(`{"entry":"plate","payload":%q}`, strings.Repeat("x", size))
			r.refuse(t, secret, []badRequest{{"POST", "/v1/calls", body, 413, "body-too-large", "not-run"}})
		}
	})
	r.step("HTTP, administrator", func(t *testing.T) { r.refuse(t, r.admin, adminCases()) })
	r.step("HTTP, wrong keys", func(t *testing.T) {
		for key, code := range map[string]string{"": "unknown-key", "x": "unknown-key", old: "revoked-key", revoked: "unknown-key"} {
			status := map[string]int{"unknown-key": 401, "revoked-key": 403}[code]
			r.refuse(t, key, []badRequest{
				{"POST", "/v1/calls", `{"entry":"proof"}`, status, code, "not-run"},
				{"PUT", "/v1/zones/a", `{"state":"out"}`, status, code, "not-run"},
				{"GET", "/v1/status", "", status, code, "not-run"},
			})
		}
		r.refuse(t, secret, []badRequest{
			{"PUT", "/v1/zones/a", `{"state":"out"}`, 403, "role-not-allowed", "not-run"},
			{"POST", "/v1/keys", `{"team":"studio","role":"admin"}`, 403, "role-not-allowed", "not-run"},
			{"DELETE", "/v1/keys/" + oldID, "", 403, "role-not-allowed", "not-run"},
		})
	})
	r.step("request ids that are used again", func(t *testing.T) { r.reuseIDs(t, secret) })
	r.step("a refused take-out takes nothing out", func(t *testing.T) {
		r.refuse(t, r.admin, []badRequest{{"PUT", "/v1/zones/a", `{"state":"out"}`, 409, "budget-exceeded", "not-run"}})
		for _, m := range r.members {
			s, err := r.status(m)
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(s.Zones), "[{a in}]", m.id)
		}
		r.run(command.ExitOK, secret, "call", "proof")
	})
	r.step("an unknown zone is refused", func(t *testing.T) {
		r.refuse(t, r.admin, []badRequest{{"PUT", "/v1/zones/nowhere", `{"state":"out"}`, 422, "invalid", "not-run"}})
	})
	r.step("bytes that are no HTTP", r.sendGarbage)
	r.step("commands", func(t *testing.T) { r.badCommands(t, secret) })
	r.step("all processes serve afterwards", func(*testing.T) {
		for _, m := range r.members {
			assert.Equal(r.t, r.runAt([]string{m.address}, secret, "call", "proof").code, command.ExitOK)
			assert.Equal(r.t, r.runAt([]string{m.address}, r.admin, "status").code, command.ExitOK)
		}
	})
}

func submitterCases() []badRequest {
	cases := []badRequest{
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
		cases = append(cases, badRequest{"POST", "/v1/calls", body, 400, "invalid-request", "not-run"})
		cases = append(cases, badRequest{"POST", "/v1/jobs", body, 400, "invalid-request", "not-run"})
	}
	for _, wait := range []string{"-1", "x", "1.5", "60001", "99999999999999999999"} {
		cases = append(cases, badRequest{"GET", "/v1/jobs/nothing?wait-ms=" + wait, "", 400, "invalid-request", "not-run"})
	}
	return cases
}

func adminCases() []badRequest {
	cases := []badRequest{
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
			cases = append(cases, badRequest{"PUT", path, body, 400, "invalid-request", "not-run"})
		}
	}
	for _, body := range []string{
		`{"team":"studio","role":"king"}`, `{"team":"studio"}`, `{"team":"studio","role":"submitter","expires-in-ms":-1}`,
		`{"team":"studio","role":"submitter","expires-in-ms":9223372036854775807}`, `{"team":"","role":"submitter"}`,
	} {
		cases = append(cases, badRequest{"POST", "/v1/keys", body, 400, "invalid-request", "not-run"})
	}
	for _, version := range []string{"-1", "x", "99999999999999999999"} {
		cases = append(cases, badRequest{"GET", "/v1/changes/" + version, "", 400, "invalid-request", "not-run"})
	}
	return cases
}

func documentBody(base uint64, document string) string {
	return fmt.Sprintf(`{"base-version":%d,"document":%q}`, base, document)
}

// refuse sends requests to each entry VM in turn and checks their refusals.
func (r *rig) refuse(t *testing.T, key string, cases []badRequest) {
	t.Helper()
	for i, c := range cases {
		status, code, outcome, text := r.send(t, r.members[i%len(r.members)], key, c)
		assert.Check(t, status == c.status && code == c.code && outcome == c.outcome,
			"%s %s %.80s: want %d %s %s, got %d %s", c.method, c.path, c.body, c.status, c.code, c.outcome, status, text)
	}
}

func (r *rig) send(t *testing.T, m *member, key string, c badRequest) (status int, code, outcome, text string) {
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

// reuseIDs submits other requests under the ids of earlier ones.
func (r *rig) reuseIDs(t *testing.T, secret string) {
	for _, path := range []string{"/v1/calls", "/v1/jobs"} {
		id := "again" + path[4:]
		first := badRequest{"POST", path, fmt.Sprintf(`{"entry":"plate","request-id":%q,"payload":1}`, id), 0, "", ""}
		status, _, _, text := r.send(t, r.members[0], secret, first)
		assert.Assert(t, status < 300, text)
		// A request whose id is used again before its answer is recorded is told as in progress.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			_, _, _, text := r.send(t, r.members[0], secret, badRequest{"GET", "/v1/requests/" + id, "", 0, "", ""})
			if !strings.Contains(text, `"done"`) {
				return poll.Continue("%s", text)
			}
			return poll.Success()
		}, poll.WithTimeout(takeOverBound), poll.WithDelay(pollDelay))
		for _, body := range []string{`{"entry":"plate","request-id":%q,"payload":2}`, `{"entry":"plate","request-id":%q}`} {
			r.refuse(t, secret, []badRequest{
				{"POST", path, fmt.Sprintf(body, id), 409, "request-id-reused", "not-run"},
				{"POST", path, fmt.Sprintf(body, id), 409, "request-id-reused", "not-run"},
			})
		}
	}
}

// sendGarbage sends bytes that are no request to every listener.
func (r *rig) sendGarbage(t *testing.T) {
	addresses := []string{r.platform}
	for _, m := range r.members {
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
		resp, err := http.Post("http://"+r.platform+path, "application/json", strings.NewReader("{"))
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, path)
	}
}

// badCommands runs commands that must fail and checks their exit codes.
func (r *rig) badCommands(t *testing.T, secret string) {
	good, err := os.ReadFile(r.dir + "/entry-a-1.yaml")
	assert.NilError(t, err)
	for i, change := range []string{
		"drain-timeout: 20\n", "drain-timeout: 20 minutes\n", "drain-timeout: -1s\n", "lease: {duration: 6}\n",
		"queue-bound: -1\n", "queue-bound: 99999999999999999999\n", "colour: red\n", "lease: [\n",
	} {
		file := r.file(fmt.Sprintf("bad-%d.yaml", i), string(good)+change)
		for _, args := range [][]string{{"serve", "--settings", file}, {"check", "--settings", file}, {"platform", "--file", file}} {
			r.fail(t, command.ExitUsage, "", args...)
		}
	}
	first, bad, unknown := r.dir+"/first.yaml", r.file("bad.yaml", "pools: ["), r.file("unknown.yaml", "pols: []\n")
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
		{"status", "-o", "xml"},
		{"init", "--table", r.platform, "--catalogue", bad},
		{"local", "--zones", "-1"},
	} {
		r.fail(t, command.ExitUsage, r.admin, args...)
	}
	r.fail(t, command.ExitUsage, "", "status")
	for _, args := range [][]string{
		{"init", "--table", r.platform},
		{"init", "--table", r.platform, "--catalogue", first},
		{"init", "--table", freeAddress(t)},
		{"apply", "--base-version", "1", first},
		{"key", "grant", "--team", "nobody"},
		{"key", "grant", "--team", "studio", "--role", "king"},
		{"key", "revoke", "nothing"},
		{"vm", "out", "nothing"},
		{"vm", "move", "backend-a-1", "--pool", "nothing"},
		{"change", "999999"},
	} {
		r.fail(t, command.ExitNotRun, r.admin, args...)
	}
	r.fail(t, command.ExitNotRun, secret, "call", "nothing")
	r.fail(t, command.ExitNotRun, secret, "call", "proof", "--deadline", "-5s")
	r.fail(t, command.ExitUnknown, secret, "wait", "nothing", "--for", "1s")
	assert.Equal(t, r.runAt([]string{freeAddress(t)}, secret, "call", "proof", "--timeout", time.Second.String()).code, command.ExitError)
}

// fail runs a command that must fail with an exit code and a message.
func (r *rig) fail(t *testing.T, code int, key string, args ...string) {
	t.Helper()
	o := r.runAt(r.addresses(), key, args...)
	assert.Check(t, o.code == code && len(o.err) > 0, "%v: want %d, got %+v", args, code, o)
}
