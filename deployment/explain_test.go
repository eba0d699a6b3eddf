package deployment_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/command"
)

// Guards against explanations that don't reach the leader, that accept bad input, or after which the job is known.
func TestLeaderExplainsJobs(t *testing.T) {
	r := newRig(t, 2, 100*time.Millisecond)
	document := func(steps ...map[string]any) []byte {
		data, err := json.Marshal(map[string]any{"Specification": "s", "Steps": steps})
		assert.NilError(t, err)
		return data
	}
	// ask returns the output and the errors of the command, which asks both entry VMs until one is the leader.
	ask := func(queue, customer string, job []byte, more ...string) string {
		file := filepath.Join(t.TempDir(), "job.json")
		assert.NilError(t, os.WriteFile(file, job, 0o600))
		var out bytes.Buffer
		command.Run(append([]string{
			"pistachiolead", "explain", "--leader", r.vms[0].vm.Settings.MetricsAddress(),
			"--leader", r.vms[1].vm.Settings.MetricsAddress(), "--queue", queue, "--customer", customer, "--job", file,
		}, more...), &out, &out)
		return out.String()
	}
	fits := document(step(3, 1000), step(2, 2000, 0))
	r.eventually("the servers are confirmed", func() bool {
		return strings.Contains(ask("plates", "label", fits), "3 of 3 tasks fit now")
	})
	text := ask("plates", "label", fits)
	assert.Assert(t, strings.Contains(text, "accepted; can be on-time") && strings.Contains(text, "confidence high"), text)
	text = ask("plates", "label", fits, "--output", "json")
	assert.Assert(t, strings.Contains(text, `"customer-jobs-ahead": 0`) && strings.Contains(text, `"may-start": true`), text)
	text = ask("plates", "label", document(step(1, 9000)))
	assert.Assert(t, strings.Contains(text, "0 of 1 tasks fit now") && strings.Contains(text, "too-small"), text)
	for want, text := range map[string]string{
		`the field "queue" is "nothing"`:      ask("nothing", "label", fits),
		`the field "customer" is "nobody"`:    ask("plates", "nobody", fits),
		`the field "job" is`:                  ask("plates", "label", document()),
		"cannot unmarshal":                    ask("plates", "label", []byte(`{"Steps":[{"Count":"3"}]}`)),
		"unexpected end of JSON":              ask("plates", "label", []byte(`{`)),
		"status 413":                          ask("plates", "label", bytes.Repeat([]byte(" "), 2<<20)),
		`the field "customer" is ""; allowed`: ask("plates", "", fits),
	} {
		assert.Check(t, strings.Contains(text, want), "want %s, got %s", want, text)
	}
	assert.Equal(t, r.state(r.vms[0], "plates", "0000000000000000"), "410")
	status, pending := r.call(r.vms[0], http.MethodGet, "/plates/", "key-1", nil)
	assert.Assert(t, status == http.StatusOK && pending["Waiting"] == 0.0, "%d %v", status, pending)
}
