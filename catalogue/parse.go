package catalogue

import (
	"fmt"
	"time"

	"github.com/pistachiolead/pistachiolead/document"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Parse parses and validates a YAML document. The error is a *document.Error with all problems of the document. The
// file name is used in error messages only.
func Parse(data []byte, file string) (*Catalogue, error) {
	return readCatalogue(document.ParseYAML(data, file))
}

// Decode parses the JSON that Encode returns. It validates as strictly as Parse. The error is a *document.Error with
// CatalogueKey as the file name.
func Decode(data []byte) (*Catalogue, error) {
	return readCatalogue(document.ParseJSON(data, CatalogueKey))
}

func readCatalogue(d *document.Document) (*Catalogue, error) {
	root := d.Root()
	r := &reader{pools: make(names), teams: make(names), entries: make(names)}
	pools := r.readPools(root)
	teams := r.readTeams(root)
	entries := r.readEntries(root)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return newCatalogue(entries, teams, pools), nil
}

// names is the set of the names defined for one kind (pool, team or entry). It serves to detect duplicates and unknown
// references.
type names map[string]struct{}

// define reads the name field of a pool, team or entry and reports a duplicate.
func (n names) define(s *document.Section, kind string) string {
	s.Require("name")
	name := s.CheckedText("name", "", nameRule, ValidName)
	if _, ok := n[name]; ok {
		s.Report("name", fmt.Sprintf("a duplicate %s %q", kind, name), "a unique name")
	}
	if name != "" {
		n[name] = struct{}{}
	}
	return name
}

// resolve reads a field that refers to a pool or team and reports a name that isn't defined.
func (n names) resolve(s *document.Section, field, kind string) string {
	s.Require(field)
	name := s.CheckedText(field, "", nameRule, ValidName)
	if _, ok := n[name]; !ok && name != "" {
		s.Report(field, fmt.Sprintf("unknown %s %q", kind, name), fmt.Sprintf("a %s defined in this document", kind))
	}
	return name
}

// reader collects the names defined in one document. Pools and teams are read before the entries that refer to them.
type reader struct {
	pools   names
	teams   names
	entries names
}

func (r *reader) readPools(root *document.Section) []Pool {
	root.Require("pools")
	var pools []Pool
	spares := 0
	for _, s := range root.Sections("pools", MaxPools) {
		p := NewPool(r.pools.define(s, "pool"), s.Bool("spare", false), s.Int("budget", 0, 0, MaxPoolBudget))
		s.Require("budget")
		if p.spare {
			spares++
		}
		if p.spare && spares > 1 {
			s.Report("spare", "another spare pool", "exactly one spare pool")
		}
		pools = append(pools, p)
	}
	if spares == 0 && root.Has("pools") {
		root.Report("pools", "no spare pool", "exactly one spare pool")
	}
	return pools
}

func (r *reader) readTeams(root *document.Section) []Team {
	root.Require("teams")
	var teams []Team
	for _, s := range root.Sections("teams", MaxTeams) {
		s.Require("limit")
		teams = append(teams, NewTeam(
			r.teams.define(s, "team"), s.Int("share", 1, 1, MaxTeamShare), s.Int("limit", 0, 0, MaxTeamLimit),
		))
	}
	return teams
}

func (r *reader) readEntries(root *document.Section) []Entry {
	root.Require("entries")
	var entries []Entry
	for _, s := range root.Sections("entries", MaxEntries) {
		entries = append(entries, r.readEntry(s))
	}
	return entries
}

func (r *reader) readEntry(s *document.Section) Entry {
	s.Require("class")
	e := Entry{
		name:           r.entries.define(s, "entry"),
		owner:          r.teams.resolve(s, "owner", "team"),
		class:          parseClass(s.Choice("class", "", classNames...)),
		pool:           r.pools.resolve(s, "pool", "pool"),
		shape:          ReadShape(s.Section("shape"), 1),
		open:           s.Bool("open", false),
		idempotent:     s.Bool("idempotent", false),
		checkpointable: s.Bool("checkpoint", false),
		maxRunning:     s.Int("max-running", 0, 0, MaxEntryRunning),
		maxDeadline:    s.Duration("max-deadline", DefaultDeadline, MinDeadline, MaxDeadline),
		maxPayload:     int(s.Size("max-payload", DefaultPayloadBytes, 0, MaxPayloadBytes, 1)),
		objective:      readObjective(s.Section("objective")),
	}
	return e.WithTeams(r.readEntryTeams(s, e.owner)...)
}

func (r *reader) readEntryTeams(s *document.Section, owner string) []string {
	var teams []string
	seen := make(names)
	for _, item := range s.Texts("teams", MaxTeams, nameRule, ValidName) {
		name := item.Text()
		if _, ok := r.teams[name]; !ok {
			item.Report(fmt.Sprintf("unknown team %q", name), "a team defined in this document")
		}
		if _, ok := seen[name]; ok || name == owner {
			item.Report(fmt.Sprintf("duplicate team %q", name), "each team once, other than the owner")
		}
		seen[name] = struct{}{}
		teams = append(teams, name)
	}
	return teams
}

// ReadShape reads a shape from the fields processors, memory, accelerators and slots. An absent field is 0, except
// slots, which default to defaultSlots.
func ReadShape(s *document.Section, defaultSlots int) provider.Shape {
	const mebibyte = 1 << 20
	return provider.NewShape(
		s.Int("processors", 0, 0, MaxProcessors),
		int(s.Size("memory", 0, 0, MaxMemoryMiB*mebibyte, mebibyte)/mebibyte),
		s.Int("accelerators", 0, 0, MaxAccelerators),
		s.Int("slots", defaultSlots, 1, MaxSlots),
	)
}

func readObjective(s *document.Section) Objective {
	return NewObjective(s.Ratio("success-ratio", 0), s.Duration("start-delay", 0, time.Millisecond, MaxStartDelay))
}
