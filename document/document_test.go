package document_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/document"
)

// Guards against documents that overflow the stack of the YAML parser or take it minutes: its time grows with the
// square of the number of fields and of empty values.
func TestParseYAMLRejectsCostlyDocuments(t *testing.T) {
	const n = 100_000
	for _, c := range []struct{ text, want string }{
		{strings.Repeat("a:\n", n), "d.yaml:1001: found too many lines of the same indent"},
		{"x:\n" + strings.Repeat("  a: {}\n", n), "too many"},
		{strings.Repeat("- k:\n    j:\n", n), "found too many empty values"},
		{strings.Repeat("- - k:\n  -\n", n), "found too many empty values"},
		{strings.Repeat("- k: 1\n  j: # text\n", n), "found too many empty values"},
		{strings.Repeat("- {j: }\n", n), "found too many empty values"},
		{strings.Repeat("- {j}\n", n), "found too many empty values"},
		{strings.Repeat("- [j: ]\n", n), "found too many empty values"},
		{strings.Repeat("--- a\n", n), "d.yaml:3: found several documents"},
		{strings.Repeat("[\n", n), "d.yaml:101: found nesting too deep"},
		{strings.Repeat("- ", n), "d.yaml:1: found a line of 200000 bytes"},
		{strings.Repeat("# x\n", 1<<16), "found an empty document"},
		{strings.Repeat("# x\n", 2<<20), "found 8388608 bytes"},
	} {
		d := document.ParseYAML([]byte(c.text), "d.yaml")
		d.Root().Require("a")
		assert.ErrorContains(t, d.Err(), c.want)
		assert.Assert(t, !strings.Contains(d.Err().Error(), "\n"), "a rejected document must have exactly one problem")
	}
}

// Guards against limits that reject large documents of the usual form.
func TestParseYAMLAcceptsLargeDocuments(t *testing.T) {
	var b strings.Builder
	b.WriteString("list:\n")
	for i := range 3_000 {
		fmt.Fprintf(&b, "- name: n%d\n  shape:\n    slots: 1\n  flow: {a: 1, b: [c, d]}\n\n  # text:\n  teams:\n  - x\n", i)
	}
	d := document.ParseYAML([]byte(b.String()), "d.yaml")
	for _, s := range d.Root().Sections("list", 3_000) {
		s.Text("name", "")
		s.Section("shape").Int("slots", 0, 0, 1)
		flow := s.Section("flow")
		flow.Int("a", 0, 0, 1)
		flow.Texts("b", 2, "", func(string) bool { return true })
		s.Texts("teams", 1, "", func(string) bool { return true })
	}
	assert.NilError(t, d.Err())
}

// Guards against durations and sizes that change when they are formatted and parsed again.
func TestDurationsAndSizesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := time.Duration(rapid.Int64Min(0).Draw(t, "duration"))
		size := rapid.Int64Min(0).Draw(t, "size")
		text := fmt.Sprintf(`{"duration": %q, "size": %q}`, document.FormatDuration(duration), document.FormatSize(size))
		for _, d := range []*document.Document{
			document.ParseYAML([]byte(text), "d.yaml"), document.ParseJSON([]byte(text), "d.json"),
		} {
			assert.Equal(t, d.Root().Duration("duration", -1, 0, 1<<63-1), duration)
			assert.Equal(t, d.Root().Size("size", -1, 0, 1<<63-1, 1), size)
			assert.NilError(t, d.Err())
		}
	})
}

// Guards against accepting JSON that isn't exactly one object with the expected fields.
func TestParseJSONIsStrict(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"a": 1, "b": 2}`, "r: b: found an unknown field, allowed: a"},
		{`{"a": "1"}`, `r: a: found "1", allowed: a whole number from 0 to 9`},
		{`{"a": null}`, "r: a: found nothing"},
		{`{"a": 1} x`, "r: found text after the document"},
		{`[1]`, "r: found a list, allowed: a mapping"},
		{`{"a": `, "r: found a syntax error"},
	} {
		d := document.ParseJSON([]byte(c.text), "r")
		d.Root().Int("a", 0, 0, 9)
		assert.ErrorContains(t, d.Err(), c.want)
	}
}
