package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// payloadSpec is the part of a task's payload that controls the simulated task. Every field is optional, and other
// fields are echoed in the output. A payload that isn't a JSON object has the zero spec and is echoed unchanged.
type payloadSpec struct {
	// RunMs is the run time at full speed in ms.
	RunMs int64 `json:"run-ms"`
	// Fail makes the task fail at the end of its run time.
	Fail bool `json:"fail"`
	// OutputBytes is the minimum length of the output.
	OutputBytes int `json:"output-bytes"`
	// Checkpointable is false if the task ignores checkpoint signals. The default is true.
	Checkpointable *bool `json:"checkpointable"`
}

// taskOutput is the output of a task that succeeded.
type taskOutput struct {
	RequestID string          `json:"request-id"`
	Attempt   int             `json:"attempt"`
	Entry     string          `json:"entry"`
	Team      string          `json:"team"`
	Payload   string          `json:"payload-xxhash64"`
	Echo      json.RawMessage `json:"echo,omitempty"`
	Padding   string          `json:"padding,omitempty"`
}

// maxEchoBytes is the largest payload that is echoed, so that the output stays within MaxOutputBytes.
const maxEchoBytes = 1 << 20

// parsePayload returns the spec that the payload contains, or an error that names the field and the allowed values.
func parsePayload(payload []byte) (payloadSpec, error) {
	if !isObject(payload) {
		return payloadSpec{}, nil
	}
	var w payloadSpec
	if err := json.Unmarshal(payload, &w); err != nil {
		return payloadSpec{}, errors.Wrap(err, "payload: decode JSON")
	}
	if w.RunMs < 0 || w.RunMs > MaxRunTime.Milliseconds() {
		return payloadSpec{}, errors.Errorf("payload: run-ms is %d, allowed are 0 to %d", w.RunMs, MaxRunTime.Milliseconds())
	}
	if w.OutputBytes < 0 || w.OutputBytes > MaxOutputBytes {
		return payloadSpec{}, errors.Errorf("payload: output-bytes is %d, allowed are 0 to %d", w.OutputBytes, MaxOutputBytes)
	}
	return w, nil
}

func isObject(payload []byte) bool {
	return json.Valid(payload) && strings.HasPrefix(strings.TrimLeft(string(payload), " \t\r\n"), "{")
}

func (w payloadSpec) runTime() time.Duration { return time.Duration(w.RunMs) * time.Millisecond }

func (w payloadSpec) checkpointable() bool { return w.Checkpointable == nil || *w.Checkpointable }

// answer returns the answer of a task that has completed its run time.
func (w payloadSpec) answer(t provider.Task) provider.Answer {
	if w.Fail {
		return failedAnswer(t, "the task failed because its payload sets fail")
	}
	o := taskOutput{
		RequestID: t.ID(), Attempt: t.Attempt(), Entry: t.Entry(), Team: t.Team(),
		Payload: fmt.Sprintf("%016x", xxhash.Sum64(t.Payload())), Echo: echo(t.Payload()),
	}
	output := mustMarshal(o)
	if missing := w.OutputBytes - len(output); missing > 0 {
		o.Padding = strings.Repeat("x", max(1, missing-len(`,"padding":""`)))
		output = mustMarshal(o)
	}
	return newAnswer(t, true, output)
}

func failedAnswer(t provider.Task, reason string) provider.Answer {
	return newAnswer(t, false, []byte(reason))
}

func newAnswer(t provider.Task, ok bool, output []byte) provider.Answer {
	return provider.NewAnswer(t.ID(), t.Attempt(), ok, len(output), xxhash.Sum64(output), output)
}

// echo returns the part of the payload that doesn't control the task: the other fields of an object, any other JSON
// value unchanged, or a base64 string of a payload that isn't JSON. It is nil for payloads over maxEchoBytes.
func echo(payload []byte) json.RawMessage {
	if len(payload) == 0 || len(payload) > maxEchoBytes {
		return nil
	}
	if !json.Valid(payload) {
		return mustMarshal(payload)
	}
	if !isObject(payload) {
		return payload
	}

	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(payload, &fields); err != nil {
		return nil
	}
	for _, f := range []string{"run-ms", "fail", "output-bytes", "checkpointable"} {
		delete(fields, f)
	}
	if len(fields) == 0 {
		return nil
	}
	return mustMarshal(fields)
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
