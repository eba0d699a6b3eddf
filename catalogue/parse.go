package catalogue

import (
	"fmt"
	"time"

	"github.com/pistachiolead/pistachiolead/document"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Parse reads a YAML document. The error is a *document.Error with all problems of the document; file is the name
// that they show.
func Parse(data []byte, file string) (*Catalogue, error) {
	return read(document.ParseYAML(data, file))
}

// Decode reads the stored form. It is as strict as Parse.
func Decode(data []byte) (*Catalogue, error) {
	return read(document.ParseJSON(data, CatalogueKey))
}

func read(d *document.Document) (*Catalogue, error) {
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

// names counts the names of one kind of part, so that references and repeated names can be checked.
type names map[string]struct{}

func (n names) add(s *document.Section, kind string) string {
	s.Require("name")
	name := s.Checked("name", "", nameRule, ValidName)
	if _, ok := n[name]; ok {
		s.Report("name", fmt.Sprintf("a second %s %q", kind, name), "each name once")
	}
	if name != "" {
		n[name] = struct{}{}
	}
	return name
}

func (n names) refer(s *document.Section, name, kind string) string {
	s.Require(name)
	v := s.Checked(name, "", nameRule, ValidName)
	if _, ok := n[v]; !ok && v != "" {
		s.Report(name, fmt.Sprintf("unknown %s %q", kind, v), fmt.Sprintf("a %s of this document", kind))
	}
	return v
}

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
		p := NewPool(r.pools.add(s, "pool"), s.Bool("spare", false), s.Int("budget", 0, 0, MaxBudget))
		s.Require("budget")
		if p.spare {
			spares++
		}
		if p.spare && spares > 1 {
			s.Report("spare", "a second spare pool", "exactly one spare pool")
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
			r.teams.add(s, "team"), s.Int("share", 1, 1, MaxShare), s.Int("limit", 0, 0, MaxTeamLimit),
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
		name:        r.entries.add(s, "entry"),
		owner:       r.teams.refer(s, "owner", "team"),
		class:       parseClass(s.Choice("class", "", classNames...)),
		pool:        r.pools.refer(s, "pool", "pool"),
		shape:       ReadShape(s.Section("shape"), 1),
		open:        s.Bool("open", false),
		idempotent:  s.Bool("idempotent", false),
		checkpoint:  s.Bool("checkpoint", false),
		maxRunning:  s.Int("max-running", 0, 0, MaxEntryRunning),
		maxDeadline: s.Duration("max-deadline", DefaultDeadline, MinDeadline, LongestDeadline),
		maxPayload:  int(s.Size("max-payload", DefaultPayloadBytes, 0, LargestPayloadBytes, 1)),
		objective:   readObjective(s.Section("objective")),
	}
	return e.WithTeams(r.readEntryTeams(s, e.owner)...)
}

func (r *reader) readEntryTeams(s *document.Section, owner string) []string {
	var teams []string
	seen := make(names)
	for _, i := range s.Texts("teams", MaxTeams, nameRule, ValidName) {
		name := i.Text()
		if _, ok := r.teams[name]; !ok {
			i.Report(fmt.Sprintf("unknown team %q", name), "a team of this document")
		}
		if _, ok := seen[name]; ok || name == owner {
			i.Report(fmt.Sprintf("team %q again", name), "each team once, without the owner")
		}
		seen[name] = struct{}{}
		teams = append(teams, name)
	}
	return teams
}

// ReadShape reads a shape: processors, memory, accelerators, and slots, which may be left out for a default.
func ReadShape(s *document.Section, slots int) provider.Shape {
	const mebibyte = 1 << 20
	return provider.NewShape(
		s.Int("processors", 0, 0, MaxProcessors),
		int(s.Size("memory", 0, 0, MaxMemoryMiB*mebibyte, mebibyte)/mebibyte),
		s.Int("accelerators", 0, 0, MaxAccelerators),
		s.Int("slots", slots, 1, MaxSlots),
	)
}

func readObjective(s *document.Section) Objective {
	return NewObjective(s.Ratio("success-ratio", 0), s.Duration("start-delay", 0, time.Millisecond, LongestStartDelay))
}
