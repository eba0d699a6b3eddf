package quota

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Absence is one VM that operators took out.
type Absence struct {
	vm     string
	author string
	since  time.Time
}

// VM returns the id of the VM.
func (a Absence) VM() string { return a.vm }

// Author returns who took the VM out.
func (a Absence) Author() string { return a.author }

// Since returns when the VM was taken out.
func (a Absence) Since() time.Time { return a.since }

// Budget is the content of the row budget/<pool>: the planned absences of one pool in order of their VMs. It is
// immutable.
type Budget struct{ absences []Absence }

// TakeOutOutcome is the outcome of Budget.TakeOut: TakenOut, AlreadyOut or OverBudget.
type TakeOutOutcome interface{ takeOutOutcome() }

// TakenOut says that the VM was added to the planned absences.
type TakenOut struct{}

// AlreadyOut says that the VM was out before.
type AlreadyOut struct{ absence Absence }

// Absence returns who took the VM out, and when.
func (a AlreadyOut) Absence() Absence { return a.absence }

// OverBudget says that one more absence would exceed the limit.
type OverBudget struct{ planned, unplanned, limit int }

// Planned returns the planned absences without the one refused.
func (o OverBudget) Planned() int { return o.planned }

// Unplanned returns the unplanned absences that were counted.
func (o OverBudget) Unplanned() int { return o.unplanned }

// Limit returns the number of VMs that may be absent.
func (o OverBudget) Limit() int { return o.limit }

func (TakenOut) takeOutOutcome()   {}
func (AlreadyOut) takeOutOutcome() {}
func (OverBudget) takeOutOutcome() {}

type absenceWire struct {
	VM     string    `json:"vm"`
	Author string    `json:"author"`
	Since  time.Time `json:"since"`
}

type budgetWire struct {
	Absences []absenceWire `json:"absences"`
}

// DecodeBudget parses the value of a row. An empty value is an empty budget.
func DecodeBudget(data []byte) (Budget, error) {
	if len(data) == 0 {
		return Budget{}, nil
	}
	var w budgetWire
	if err := json.Unmarshal(data, &w); err != nil {
		return Budget{}, errors.Wrap(err, "decode availability budget")
	}
	var b Budget
	for _, a := range w.Absences {
		b = b.with(Absence{vm: a.VM, author: a.Author, since: a.Since})
	}
	return b, nil
}

// Encode returns the value of the row.
func (b Budget) Encode() []byte {
	w := budgetWire{Absences: make([]absenceWire, 0, len(b.absences))}
	for _, a := range b.absences {
		w.Absences = append(w.Absences, absenceWire{VM: a.vm, Author: a.author, Since: a.since.UTC()})
	}
	data, err := json.Marshal(w)
	if err != nil {
		panic(errors.Wrap(err, "encode availability budget"))
	}
	return data
}

// Absences returns the planned absences in order of their VMs. Callers must not modify the slice.
func (b Budget) Absences() []Absence { return b.absences }

// TakeOut adds a planned absence if the planned and unplanned absences together stay within the limit. The unplanned
// count must not include VMs that are in the budget.
func (b Budget) TakeOut(vm, author string, unplannedAbsent, limit int, now time.Time) (Budget, TakeOutOutcome) {
	if i, ok := b.find(vm); ok {
		return b, AlreadyOut{absence: b.absences[i]}
	}
	if len(b.absences)+unplannedAbsent+1 > limit {
		return b, OverBudget{planned: len(b.absences), unplanned: unplannedAbsent, limit: limit}
	}
	return b.with(Absence{vm: vm, author: author, since: now}), TakenOut{}
}

// Force adds a planned absence whatever the limit. It returns the absence already there if there is one.
func (b Budget) Force(vm, author string, now time.Time) (Budget, TakeOutOutcome) {
	if i, ok := b.find(vm); ok {
		return b, AlreadyOut{absence: b.absences[i]}
	}
	return b.with(Absence{vm: vm, author: author, since: now}), TakenOut{}
}

// Return removes the planned absence of the VM, if there is one.
func (b Budget) Return(vm string) Budget {
	i, ok := b.find(vm)
	if !ok {
		return b
	}
	return Budget{absences: slices.Concat(b.absences[:i], b.absences[i+1:])}
}

func (b Budget) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(b.absences, vm, func(a Absence, vm string) int { return strings.Compare(a.vm, vm) })
}

func (b Budget) with(a Absence) Budget {
	i, ok := b.find(a.vm)
	if ok {
		return b
	}
	return Budget{absences: slices.Concat(b.absences[:i], []Absence{a}, b.absences[i:])}
}
