package quota

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Absence is one VM that an operator took out for maintenance.
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

// Budget is the content of the row budget/<pool>: the planned absences of one pool, sorted by VM id. It is immutable.
type Budget struct{ absences []Absence }

// TakeOutOutcome is the outcome of Budget.TakeOut: TakenOut, AlreadyOut or OverBudget.
type TakeOutOutcome interface{ takeOutOutcome() }

// TakenOut is the outcome if the VM was added to the planned absences.
type TakenOut struct{}

// AlreadyOut is the outcome if the VM was among the planned absences before.
type AlreadyOut struct{ absence Absence }

// Absence returns the existing absence.
func (a AlreadyOut) Absence() Absence { return a.absence }

// OverBudget is the outcome if one more absence would exceed the limit.
type OverBudget struct{ planned, unplanned, limit int }

// Planned returns the number of planned absences, without the refused one.
func (o OverBudget) Planned() int { return o.planned }

// Unplanned returns the number of unplanned absences.
func (o OverBudget) Unplanned() int { return o.unplanned }

// Limit returns the number of VMs of the pool that may be absent.
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

// DecodeBudget parses the value of a row. An empty value has no absences. It returns an error if the value isn't valid
// JSON.
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
		b = b.withAbsence(Absence{vm: a.VM, author: a.Author, since: a.Since})
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

// Absences returns the planned absences, sorted by VM id. Callers must not modify the slice.
func (b Budget) Absences() []Absence { return b.absences }

// TakeOut adds a planned absence if the planned and unplanned absences together stay within the limit. The number of
// unplanned absences must not include VMs with a planned absence.
func (b Budget) TakeOut(vm, author string, unplannedAbsent, limit int, now time.Time) (Budget, TakeOutOutcome) {
	if i, ok := b.find(vm); ok {
		return b, AlreadyOut{absence: b.absences[i]}
	}
	if len(b.absences)+unplannedAbsent+1 > limit {
		return b, OverBudget{planned: len(b.absences), unplanned: unplannedAbsent, limit: limit}
	}
	return b.withAbsence(Absence{vm: vm, author: author, since: now}), TakenOut{}
}

// ForceTakeOut adds a planned absence without applying the limit. The outcome is TakenOut or AlreadyOut.
func (b Budget) ForceTakeOut(vm, author string, now time.Time) (Budget, TakeOutOutcome) {
	if i, ok := b.find(vm); ok {
		return b, AlreadyOut{absence: b.absences[i]}
	}
	return b.withAbsence(Absence{vm: vm, author: author, since: now}), TakenOut{}
}

// EndAbsence removes the planned absence of the VM. It does nothing if there is none.
func (b Budget) EndAbsence(vm string) Budget {
	i, ok := b.find(vm)
	if !ok {
		return b
	}
	return Budget{absences: slices.Concat(b.absences[:i], b.absences[i+1:])}
}

// find returns the index of the VM's absence, or where to insert it, and whether there is one.
func (b Budget) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(b.absences, vm, func(a Absence, vm string) int { return strings.Compare(a.vm, vm) })
}

func (b Budget) withAbsence(a Absence) Budget {
	i, ok := b.find(a.vm)
	if ok {
		return b
	}
	return Budget{absences: slices.Concat(b.absences[:i], []Absence{a}, b.absences[i:])}
}
