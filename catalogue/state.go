package catalogue

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// VMState is the configuration of a VM: its pool, and whether it is in service.
type VMState struct {
	pool         string
	outOfService bool
	reason       string
	author       string
	changedAt    time.Time
}

// NewVMState returns the state of a VM, with the author, the time and the reason of the change. A VM with an empty pool
// isn't in service.
func NewVMState(pool string, outOfService bool, reason, author string, changedAt time.Time) VMState {
	return VMState{
		pool: pool, outOfService: outOfService, reason: reason, author: author, changedAt: changedAt.UTC().Round(0),
	}
}

// Pool returns the name of the VM's pool, empty if the VM belongs to none.
func (s VMState) Pool() string { return s.pool }

// OutOfService reports whether the VM was taken out of service.
func (s VMState) OutOfService() bool { return s.outOfService }

// Reason returns the author's reason for the change. It may be empty.
func (s VMState) Reason() string { return s.reason }

// Author returns the author of the change.
func (s VMState) Author() string { return s.author }

// ChangedAt returns the time of the change, in UTC.
func (s VMState) ChangedAt() time.Time { return s.changedAt }

// ZoneState is the configuration of an availability zone: whether it is in service.
type ZoneState struct {
	outOfService bool
	author       string
	changedAt    time.Time
}

// NewZoneState returns the state of an availability zone, with the author and the time of the change.
func NewZoneState(outOfService bool, author string, changedAt time.Time) ZoneState {
	return ZoneState{outOfService: outOfService, author: author, changedAt: changedAt.UTC().Round(0)}
}

// OutOfService reports whether the availability zone was taken out of service.
func (s ZoneState) OutOfService() bool { return s.outOfService }

// Author returns the author of the change, empty for an early take-out, which isn't committed to the table yet.
func (s ZoneState) Author() string { return s.author }

// ChangedAt returns the time of the change, in UTC.
func (s ZoneState) ChangedAt() time.Time { return s.changedAt }

// stateRow is the JSON value of the row of a VM or an availability zone. A zone's row has neither pool nor reason.
type stateRow struct {
	Pool   string    `json:"pool,omitempty"`
	Out    bool      `json:"out"`
	Reason string    `json:"reason,omitempty"`
	By     string    `json:"by"`
	When   time.Time `json:"when"`
}

func (s VMState) encode() []byte {
	return encodeJSON(stateRow{Pool: s.pool, Out: s.outOfService, Reason: s.reason, By: s.author, When: s.changedAt})
}

func (s ZoneState) encode() []byte {
	return encodeJSON(stateRow{Out: s.outOfService, By: s.author, When: s.changedAt})
}

func decodeVMState(data []byte) (VMState, error) {
	var row stateRow
	if err := json.Unmarshal(data, &row); err != nil {
		return VMState{}, errors.Wrap(err, "decode VM state")
	}
	return NewVMState(row.Pool, row.Out, row.Reason, row.By, row.When), nil
}

func decodeZoneState(data []byte) (ZoneState, error) {
	var row stateRow
	if err := json.Unmarshal(data, &row); err != nil {
		return ZoneState{}, errors.Wrap(err, "decode availability zone state")
	}
	return NewZoneState(row.Out, row.By, row.When), nil
}

// encodeJSON returns v as JSON. It panics on failure, because the row types of this package can always be encoded.
func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
