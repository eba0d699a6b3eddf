package command_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/command"
)

// Guards against a command tree that can't be built, so that even --help fails.
func TestHelp(t *testing.T) {
	var out, errOut bytes.Buffer
	code := command.Run([]string{"pistachiolead", "--help"}, &out, &errOut)
	assert.Equal(t, code, command.ExitOK, errOut.String())
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("fleet")), out.String())
}

// Guards against a command whose help has no example, or the example of another command.
func TestHelpHasExamples(t *testing.T) {
	for _, name := range []string{
		"local", "serve", "platform", "init", "check", "apply", "get", "diff", "change", "call", "submit", "explain", "wait", "cancel", "status",
		"key", "key grant", "key revoke", "key list", "zone", "zone out", "zone back", "vm", "vm out", "vm back", "vm move",
	} {
		var out bytes.Buffer
		args := append([]string{"pistachiolead"}, strings.Fields(name)...)
		assert.Equal(t, command.Run(append(args, "--help"), &out, &out), command.ExitOK, name)
		assert.Check(t, strings.Contains(out.String(), "Example: pistachiolead "+name+" ") ||
			strings.Contains(out.String(), "Example: pistachiolead "+name+"\n"), out.String())
	}
}
