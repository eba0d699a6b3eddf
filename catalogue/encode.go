package catalogue

import (
	"github.com/goccy/go-yaml"

	"github.com/pistachiolead/pistachiolead/document"
	"github.com/pistachiolead/pistachiolead/provider"
)

// catalogueDocument is the form of a Catalogue in JSON rows and YAML documents.
type catalogueDocument struct {
	Pools   []poolDocument  `json:"pools" yaml:"pools"`
	Teams   []teamDocument  `json:"teams" yaml:"teams"`
	Entries []entryDocument `json:"entries" yaml:"entries"`
}

type poolDocument struct {
	Name   string `json:"name" yaml:"name"`
	Spare  bool   `json:"spare,omitempty" yaml:"spare,omitempty"`
	Budget int    `json:"budget" yaml:"budget"`
}

type teamDocument struct {
	Name  string `json:"name" yaml:"name"`
	Share int    `json:"share" yaml:"share"`
	Limit int    `json:"limit" yaml:"limit"`
}

type entryDocument struct {
	Name        string             `json:"name" yaml:"name"`
	Owner       string             `json:"owner" yaml:"owner"`
	Class       string             `json:"class" yaml:"class"`
	Pool        string             `json:"pool" yaml:"pool"`
	Shape       shapeDocument      `json:"shape" yaml:"shape"`
	Teams       []string           `json:"teams,omitempty" yaml:"teams,omitempty"`
	Open        bool               `json:"open,omitempty" yaml:"open,omitempty"`
	Idempotent  bool               `json:"idempotent" yaml:"idempotent"`
	Checkpoint  bool               `json:"checkpoint,omitempty" yaml:"checkpoint,omitempty"`
	MaxRunning  int                `json:"max-running,omitempty" yaml:"max-running,omitempty"`
	MaxDeadline string             `json:"max-deadline" yaml:"max-deadline"`
	MaxPayload  string             `json:"max-payload" yaml:"max-payload"`
	Objective   *objectiveDocument `json:"objective,omitempty" yaml:"objective,omitempty"`
}

type shapeDocument struct {
	Processors   int    `json:"processors" yaml:"processors"`
	Memory       string `json:"memory" yaml:"memory"`
	Accelerators int    `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
	Slots        int    `json:"slots" yaml:"slots"`
}

type objectiveDocument struct {
	SuccessRatio float64 `json:"success-ratio,omitempty" yaml:"success-ratio,omitempty"`
	StartDelay   string  `json:"start-delay,omitempty" yaml:"start-delay,omitempty"`
}

// Encode returns the JSON that is stored in the row CatalogueKey.
func (c *Catalogue) Encode() []byte { return encodeJSON(c.document()) }

// YAML returns the catalogue as a YAML document that Parse accepts.
func (c *Catalogue) YAML() []byte {
	b, err := yaml.Marshal(c.document())
	if err != nil {
		panic(err)
	}
	return b
}

func (c *Catalogue) document() catalogueDocument {
	d := catalogueDocument{Pools: []poolDocument{}, Teams: []teamDocument{}, Entries: []entryDocument{}}
	for _, p := range c.pools {
		d.Pools = append(d.Pools, poolDocument{Name: p.name, Spare: p.spare, Budget: p.budget})
	}
	for _, t := range c.teams {
		d.Teams = append(d.Teams, teamDocument{Name: t.name, Share: t.share, Limit: t.limit})
	}
	for _, e := range c.entries {
		d.Entries = append(d.Entries, e.document())
	}
	return d
}

func (e Entry) document() entryDocument {
	return entryDocument{
		Name: e.name, Owner: e.owner, Class: e.class.String(), Pool: e.pool, Shape: shapeToDocument(e.shape),
		Teams: e.teams, Open: e.open, Idempotent: e.idempotent, Checkpoint: e.checkpointable, MaxRunning: e.maxRunning,
		MaxDeadline: document.FormatDuration(e.maxDeadline), MaxPayload: document.FormatSize(int64(e.maxPayload)),
		Objective: e.objective.document(),
	}
}

func shapeToDocument(s provider.Shape) shapeDocument {
	return shapeDocument{
		Processors: s.Processors(), Memory: document.FormatSize(int64(s.MemoryMiB()) << 20),
		Accelerators: s.Accelerators(), Slots: s.Slots(),
	}
}

func (o Objective) document() *objectiveDocument {
	if o == (Objective{}) {
		return nil
	}
	d := &objectiveDocument{SuccessRatio: o.successRatio}
	if o.startDelay != 0 {
		d.StartDelay = document.FormatDuration(o.startDelay)
	}
	return d
}
