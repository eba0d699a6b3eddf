package catalogue_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// Guards against accepting malformed documents, and against errors without the line, the field or the value.
func TestParseReportsLocation(t *testing.T) {
	many := strings.Repeat("  - {name: x, limit: 1}\n", catalogue.MaxTeams+1)
	for _, c := range []struct{ old, new, want string }{
		{"urgent", "fast", `c.yaml:10: entries[0].class: found "fast", allowed: urgent, interactive, archive`},
		{"owner: studio", "owner: nobody", `c.yaml:9: entries[0].owner: found unknown team "nobody"`},
		{"pool: proofs", "pool: Proofs", `c.yaml:11: entries[0].pool: found "Proofs", allowed: a name of 1 to 63`},
		{"    pool: proofs\n", "", `c.yaml:8: entries[0].pool: found nothing, allowed: this field is required`},
		{"[adria]", "[adria, x]", `c.yaml:12: entries[0].teams[1]: found unknown team "x"`},
		{"[adria]", "[studio]", `c.yaml:12: entries[0].teams[0]: found duplicate team "studio"`},
		{"[adria]", "adria", `c.yaml:12: entries[0].teams: found "adria", allowed: a list`},
		{"8GiB", "8GB", `c.yaml:13: entries[0].shape.memory: found "8GB", allowed: a size in B, KiB`},
		{"8GiB", "99999999999TiB", `c.yaml:13: entries[0].shape.memory: found "99999999999TiB"`},
		{"processors: 4", "processors: -4", `c.yaml:13: entries[0].shape.processors: found -4`},
		{"processors: 4", "processors: 0x4", `c.yaml:13: entries[0].shape.processors: found 0x4`},
		{"30s", "30", `c.yaml:14: entries[0].max-deadline: found 30, allowed: a duration with its unit`},
		{"30s", "-30s", `c.yaml:14: entries[0].max-deadline: found "-30s"`},
		{"30s", "&a 30s", `c.yaml:14: entries[0].max-deadline: found an anchor`},
		{"30s", "30s\n    max-running: 1e9", `c.yaml:15: entries[0].max-running: found "1e9"`},
		{"30s", "30s\n    idempotent: yes", `c.yaml:15: entries[0].idempotent: found "yes", allowed: true, false`},
		{"30s", "30s\n    objective: {success-ratio: 1.0}", `c.yaml:15: entries[0].objective.success-ratio: found 1.0`},
		{"30s", "30s\n    max-dedline: 1s", `c.yaml:15: entries[0].max-dedline: found an unknown field`},
		{"30s", "30s\n    class: archive", `c.yaml:15: entries[0].class: found a duplicate field`},
		{"30s", "30s\n  - {name: quick-proof}", `c.yaml:15: entries[1].name: found a duplicate entry "quick-proof"`},
		{"30s", "30s\n  - 7", `c.yaml:15: entries[1]: found 7, allowed: a mapping`},
		{"budget: 2", "budget: 2, spare: true", `c.yaml:3: pools[1].spare: found another spare pool`},
		{"spare: true, ", "", `c.yaml:1: pools: found no spare pool`},
		{"limit: 50", "share: 0, limit: 50", `c.yaml:6: teams[1].share: found 0`},
		{"limit: 50", "limit: 99999999999999999999", `c.yaml:6: teams[1].limit: found "99999999999999999999"`},
		{"limit: 50", "limit:", `c.yaml:6: teams[1].limit: found nothing`},
		{"  - {name: adria, limit: 50}\n", many, `c.yaml:4: teams: found 1002 items, allowed: at most 1000`},
		{"entries:", "--- {}\nentries:", `allowed: `},
		{"teams:", "teams: [", `found a syntax error`},
		{document, "", `c.yaml:1: found an empty document, allowed: a mapping`},
		{document, "[]", `c.yaml:1: found a list, allowed: a mapping`},
		{document, strings.Repeat("[", 1000), `c.yaml:1: found nesting too deep`},
		{document, strings.Repeat("- ", 1<<20), `c.yaml:1: found a line of 2097152 bytes`},
		{document, "\xff", `c.yaml:1: found bytes that aren't UTF-8`},
	} {
		assert.Assert(t, strings.Contains(document, c.old), c.old)
		_, err := catalogue.Parse([]byte(strings.Replace(document, c.old, c.new, 1)), "c.yaml")
		assert.ErrorContains(t, err, c.want)
	}
}

// Guards against reporting only the first problem of a document.
func TestParseReportsAllProblems(t *testing.T) {
	bad := strings.NewReplacer("urgent", "fast", "limit: 50", "limit: -1", "8GiB", "x").Replace(document)
	_, err := catalogue.Parse([]byte(bad), "c.yaml")
	lines := strings.Split(fmt.Sprint(err), "\n")
	assert.Equal(t, len(lines), 3, "%s", err)
	for i, want := range []string{"c.yaml:6:", "c.yaml:10:", "c.yaml:13:"} {
		assert.Assert(t, strings.HasPrefix(lines[i], want), lines[i])
	}
}

// Guards against fields that are lost or changed when a catalogue is encoded and parsed again, as JSON or as YAML.
func TestEncodingsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCatalogue(t)
		stored, err := catalogue.Decode(c.Encode())
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(stored, c))
		parsed, err := catalogue.Parse(c.YAML(), "c.yaml")
		assert.NilError(t, err, "%s", c.YAML())
		assert.Equal(t, string(parsed.Encode()), string(c.Encode()))
		assert.Equal(t, len(catalogue.Diff(c, parsed)), 0)

		other := drawCatalogue(t)
		same := string(other.Encode()) == string(c.Encode())
		assert.Equal(t, len(catalogue.Diff(c, other)) == 0, same)
	})
}

// Guards against differences that Diff omits, and against changes of the texts that operators read.
func TestDiffText(t *testing.T) {
	a, err := catalogue.Parse([]byte(document), "a.yaml")
	assert.NilError(t, err)
	changed := strings.NewReplacer(
		"urgent", "archive", "30s", "1h", "[adria]", "[]", "8GiB", "9MiB", "{name: adria, limit: 50}", "{name: kolo, limit: 1}",
	).Replace(document)
	b, err := catalogue.Parse([]byte(changed), "b.yaml")
	assert.NilError(t, err)

	var texts []string
	for _, c := range catalogue.Diff(a, b) {
		texts = append(texts, c.String())
	}
	assert.DeepEqual(t, texts, []string{
		"team adria: removed",
		"team kolo: added",
		"entry quick-proof: class urgent -> archive",
		"entry quick-proof: memory 8GiB -> 9MiB",
		"entry quick-proof: teams [adria] -> []",
		"entry quick-proof: max-deadline 30s -> 1h",
	})
}

// Guards against input that makes Parse panic, and against accepted documents that change when they are encoded as YAML
// or JSON and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(document))
	f.Add([]byte("pools: [{name: a, spare: true, budget: 0}]\nteams: []\nentries: []\n"))
	f.Add([]byte("a: &x {<<: *x}\n? [b]\n: !!int c\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := catalogue.Parse(data, "c.yaml")
		if err != nil {
			return
		}
		again, err := catalogue.Parse(c.YAML(), "c.yaml")
		assert.NilError(t, err)
		assert.Equal(t, string(again.Encode()), string(c.Encode()))
	})
}
