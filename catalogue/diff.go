package catalogue

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pistachiolead/pistachiolead/document"
)

// Difference is one difference between two catalogues: an added or removed pool, team or entry, or a changed field.
type Difference struct {
	kind string
	name string
	text string
}

// Kind returns "pool", "team" or "entry".
func (d Difference) Kind() string { return d.kind }

// Name returns the name of the pool, team or entry that differs.
func (d Difference) Name() string { return d.name }

// String returns a description such as "entry proofs: class interactive -> urgent".
func (d Difference) String() string { return fmt.Sprintf("%s %s: %s", d.kind, d.name, d.text) }

// Diff returns the differences from a to b: pools, then teams, then entries, each sorted by name.
func Diff(a, b *Catalogue) []Difference {
	differences := diffDefinitions(nil, "pool", poolDefinitions(a), poolDefinitions(b))
	differences = diffDefinitions(differences, "team", teamDefinitions(a), teamDefinitions(b))
	return diffDefinitions(differences, "entry", entryDefinitions(a), entryDefinitions(b))
}

// definition is a pool, team or entry as a list of pairs of field name and formatted value.
type definition struct {
	name   string
	fields [][2]string
}

func poolDefinitions(c *Catalogue) []definition {
	definitions := make([]definition, 0, len(c.pools))
	for _, p := range c.pools {
		definitions = append(definitions, definition{p.name, [][2]string{
			{"spare", strconv.FormatBool(p.spare)}, {"budget", strconv.Itoa(p.budget)},
		}})
	}
	return definitions
}

func teamDefinitions(c *Catalogue) []definition {
	definitions := make([]definition, 0, len(c.teams))
	for _, t := range c.teams {
		definitions = append(definitions, definition{t.name, [][2]string{
			{"share", strconv.Itoa(t.share)}, {"limit", strconv.Itoa(t.limit)},
		}})
	}
	return definitions
}

func entryDefinitions(c *Catalogue) []definition {
	definitions := make([]definition, 0, len(c.entries))
	for _, e := range c.entries {
		definitions = append(definitions, definition{e.name, e.fields()})
	}
	return definitions
}

func (e Entry) fields() [][2]string {
	s := shapeToDocument(e.shape)
	return [][2]string{
		{"owner", e.owner},
		{"class", e.class.String()},
		{"pool", e.pool},
		{"processors", strconv.Itoa(s.Processors)},
		{"memory", s.Memory},
		{"accelerators", strconv.Itoa(s.Accelerators)},
		{"slots", strconv.Itoa(s.Slots)},
		{"teams", "[" + strings.Join(e.teams, " ") + "]"},
		{"open", strconv.FormatBool(e.open)},
		{"idempotent", strconv.FormatBool(e.idempotent)},
		{"checkpoint", strconv.FormatBool(e.checkpointable)},
		{"max-running", strconv.Itoa(e.maxRunning)},
		{"max-deadline", document.FormatDuration(e.maxDeadline)},
		{"max-payload", document.FormatSize(int64(e.maxPayload))},
		{"success-ratio", strconv.FormatFloat(e.objective.successRatio, 'g', -1, 64)},
		{"start-delay", document.FormatDuration(e.objective.startDelay)},
	}
}

// diffDefinitions appends the differences between two lists that are sorted by name.
func diffDefinitions(differences []Difference, kind string, a, b []definition) []Difference {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || (len(a) > 0 && a[0].name < b[0].name):
			differences = append(differences, Difference{kind, a[0].name, "removed"})
			a = a[1:]
		case len(a) == 0 || b[0].name < a[0].name:
			differences = append(differences, Difference{kind, b[0].name, "added"})
			b = b[1:]
		default:
			differences = diffFields(differences, kind, a[0], b[0])
			a, b = a[1:], b[1:]
		}
	}
	return differences
}

func diffFields(differences []Difference, kind string, a, b definition) []Difference {
	for i, f := range a.fields {
		if v := b.fields[i][1]; v != f[1] {
			differences = append(differences, Difference{kind, a.name, fmt.Sprintf("%s %s -> %s", f[0], f[1], v)})
		}
	}
	return differences
}
