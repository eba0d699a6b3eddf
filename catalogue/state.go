package catalogue

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// VMState is what the configuration says of a VM.
type VMState struct {
	pool   string
	out    bool
	reason string
	by     string
	when   time.Time
}

// NewVMState returns the state of a VM that was set by someone at some time. An empty pool means that the VM isn't in
// service.
func NewVMState(pool string, out bool, reason, by string, when time.Time) VMState {
	return VMState{pool: pool, out: out, reason: reason, by: by, when: when.UTC().Round(0)}
}

// Pool returns the name of the VM's pool.
func (s VMState) Pool() string { return s.pool }

// Out reports whether the VM was taken out of service.
func (s VMState) Out() bool { return s.out }

// Reason returns why the state was set.
func (s VMState) Reason() string { return s.reason }

// By returns who set the state.
func (s VMState) By() string { return s.by }

// When returns when the state was set.
func (s VMState) When() time.Time { return s.when }

// ZoneState is what the configuration says of an availability zone.
type ZoneState struct {
	out  bool
	by   string
	when time.Time
}

// NewZoneState returns the state of an availability zone that was set by someone at some time.
func NewZoneState(out bool, by string, when time.Time) ZoneState {
	return ZoneState{out: out, by: by, when: when.UTC().Round(0)}
}

// Out reports whether the availability zone was taken out of service.
func (s ZoneState) Out() bool { return s.out }

// By returns who set the state, empty for a take-out that isn't in the table yet.
func (s ZoneState) By() string { return s.by }

// When returns when the state was set.
func (s ZoneState) When() time.Time { return s.when }

type stateRow struct {
	Pool   string    `json:"pool,omitempty"`
	Out    bool      `json:"out"`
	Reason string    `json:"reason,omitempty"`
	By     string    `json:"by"`
	When   time.Time `json:"when"`
}

func (s VMState) encode() []byte {
	return encodeJSON(stateRow{Pool: s.pool, Out: s.out, Reason: s.reason, By: s.by, When: s.when})
}

func (s ZoneState) encode() []byte { return encodeJSON(stateRow{Out: s.out, By: s.by, When: s.when}) }

func decodeVMState(data []byte) (VMState, error) {
	var w stateRow
	if err := json.Unmarshal(data, &w); err != nil {
		return VMState{}, errors.Wrap(err, "decode VM state")
	}
	return NewVMState(w.Pool, w.Out, w.Reason, w.By, w.When), nil
}

func decodeZoneState(data []byte) (ZoneState, error) {
	var w stateRow
	if err := json.Unmarshal(data, &w); err != nil {
		return ZoneState{}, errors.Wrap(err, "decode availability zone state")
	}
	return NewZoneState(w.Out, w.By, w.When), nil
}

// encodeJSON panics on failure: the wire types of this package can always be encoded.
func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
