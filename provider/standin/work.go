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

// work is what a task's payload asks the stand-in to do. Every field is optional, and other fields are echoed in the
// output. A payload that isn't a JSON object asks for nothing and is echoed whole.
type work struct {
	// RunMs is the run time at full speed in ms.
	RunMs int64 `json:"run-ms"`
	// Fail makes the task fail at the end of its run time.
	Fail bool `json:"fail"`
	// OutputBytes is the least length of the output.
	OutputBytes int `json:"output-bytes"`
	// Checkpointable says whether the task obeys a checkpoint signal. The default is true.
	Checkpointable *bool `json:"checkpointable"`
}

// outputWire is the output of a task that succeeded.
type outputWire struct {
	RequestID string          `json:"request-id"`
	Attempt   int             `json:"attempt"`
	Entry     string          `json:"entry"`
	Team      string          `json:"team"`
	Payload   string          `json:"payload-xxhash64"`
	Echo      json.RawMessage `json:"echo,omitempty"`
	Padding   string          `json:"padding,omitempty"`
}

// maxEchoBytes keeps the output of a task with a large payload within MaxOutputBytes.
const maxEchoBytes = 1 << 20

func parseWork(payload []byte) (work, error) {
	if !isObject(payload) {
		return work{}, nil
	}
	var w work
	if err := json.Unmarshal(payload, &w); err != nil {
		return work{}, errors.Wrap(err, "payload")
	}
	if w.RunMs < 0 || w.RunMs > MaxRunTime.Milliseconds() {
		return work{}, errors.Errorf("payload: run-ms is %d, allowed are 0 to %d", w.RunMs, MaxRunTime.Milliseconds())
	}
	if w.OutputBytes < 0 || w.OutputBytes > MaxOutputBytes {
		return work{}, errors.Errorf("payload: output-bytes is %d, allowed are 0 to %d", w.OutputBytes, MaxOutputBytes)
	}
	return w, nil
}

func isObject(payload []byte) bool {
	return json.Valid(payload) && strings.HasPrefix(strings.TrimLeft(string(payload), " \t\r\n"), "{")
}

func (w work) runTime() time.Duration { return time.Duration(w.RunMs) * time.Millisecond }

func (w work) checkpointable() bool { return w.Checkpointable == nil || *w.Checkpointable }

// answer returns the answer of a task that has run to its end.
func (w work) answer(t provider.Task) provider.Answer {
	if w.Fail {
		return failedAnswer(t, "the payload asked for a failure")
	}
	o := outputWire{
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

// echo returns the part of the payload that doesn't control the work: the other fields of an object, or any other
// payload, as a base64 string if it isn't JSON.
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
