package api

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// ParseWork reads a call or job from a JSON document with the fields of a submission: entry, request-id, deadline-ms
// and payload. Its errors give the file, the field, the value found and the values allowed.
func ParseWork(data []byte, file string) (Work, error) {
	var fields map[string]json.RawMessage
	if err := decodeStrictly(data, &fields); err != nil {
		return Work{}, errors.Wrap(err, file)
	}
	var w workRequest
	into := map[string]any{"entry": &w.Entry, "request-id": &w.RequestID, "deadline-ms": &w.DeadlineMS, "payload": &w.Payload}
	allowed := map[string]string{"entry": "a string", "request-id": "a string", "deadline-ms": "a whole number"}
	for name, value := range fields {
		if into[name] == nil {
			return Work{}, errors.Errorf("%s: found the field %q; allowed are entry, request-id, deadline-ms and payload", file, name)
		}
		if err := json.Unmarshal(value, into[name]); err != nil {
			return Work{}, errors.Errorf("%s: the field %q is %.40s; allowed is %s", file, name, value, allowed[name])
		}
	}
	if message := w.check(); message != "" {
		return Work{}, fmt.Errorf("%s: %s", file, message)
	}
	return Work{Entry: w.Entry, RequestID: w.RequestID, Deadline: durationOf(w.DeadlineMS), Payload: w.Payload}, nil
}
