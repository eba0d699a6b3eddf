package command_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pistachiolead/pistachiolead/command"
)

// Guards against a planned stop that is never started, because its signal arrives while settings are reloaded: the platform would
// kill the process at the end of the grace period, with its calls.
func TestStopSignalIsNotLostAmongReloads(t *testing.T) {
	t.Parallel()
	const (
		gracePeriod = 2 * time.Second
		rounds      = 5
	)
	for range rounds {
		f := &testFleet{t: t, dir: t.TempDir()}
		probes := freeAddress(t)
		path := filepath.Join(f.dir, "entry.yaml")
		// Settings that take a while to parse.
		content := fmt.Sprintf("NodeName: entry-1\nZone: z0\nListenAddresses: {Frontend: %q, Readiness: %q}\n"+
			"Bounds: {GraceS: %g}\nplatform: {Address: %q}\nNotes: [%s]\n",
			freeAddress(t), probes, gracePeriod.Seconds(), freeAddress(t), strings.Repeat("note, ", 5000))
		assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
		p := f.start("entry", "--settings", path)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			c, err := net.Dial("tcp", probes)
			if err != nil {
				return poll.Continue("entry VM: %s", err)
			}
			_ = c.Close()
			return poll.Success()
		}, poll.WithTimeout(startBound), poll.WithDelay(pollDelay))
		// The second signal arrives while the first one is handled, and waits; then the stop arrives.
		for range 2 {
			p.signal(t, syscall.SIGHUP)
			poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Success() }, poll.WithDelay(time.Millisecond))
		}
		p.signal(t, syscall.SIGTERM)
		p.signal(t, syscall.SIGHUP)
		assert.Equal(t, p.awaitEnd(t, gracePeriod+exitSlack).ExitCode(), command.ExitOK)
	}
}
