package command_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/command"
)

// Guards against a command line that fails to build its command tree.
func TestHelp(t *testing.T) {
	var out, errOut bytes.Buffer
	code := command.Run([]string{"pistachiolead", "--help"}, &out, &errOut)
	assert.Equal(t, code, command.ExitOK, errOut.String())
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("fleet")), out.String())
}
