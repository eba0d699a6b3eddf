package peer

import "github.com/pistachiolead/pistachiolead/provider"

// Change is what one entry VM pushes to another: Configuration, TakeOut or Revocation.
type Change interface{ change() }

// Configuration is a committed configuration change.
type Configuration struct {
	version uint64
	rows    []provider.Row
}

// NewConfiguration returns the rows that changed, deletions included, and the configuration version they make up.
func NewConfiguration(version uint64, rows []provider.Row) Configuration {
	return Configuration{version: version, rows: rows}
}

// Version returns the configuration version that holds once the rows are applied.
func (c Configuration) Version() uint64 { return c.version }

// Rows returns the changed rows. Callers must not modify the slice.
func (c Configuration) Rows() []provider.Row { return c.rows }

// TakeOut takes an availability zone or a VM out of service, and may come before it is in the table.
type TakeOut struct {
	zone string
	vm   string
}

// NewZoneTakeOut returns the take-out of an availability zone.
func NewZoneTakeOut(zone string) TakeOut { return TakeOut{zone: zone} }

// NewVMTakeOut returns the take-out of a VM.
func NewVMTakeOut(vm string) TakeOut { return TakeOut{vm: vm} }

// Zone returns the availability zone, empty if a VM is taken out.
func (t TakeOut) Zone() string { return t.zone }

// VM returns the id of the VM, empty if an availability zone is taken out.
func (t TakeOut) VM() string { return t.vm }

// Revocation revokes a key, and may come before it is in the table.
type Revocation struct{ keyID string }

// NewRevocation returns the revocation of a key.
func NewRevocation(keyID string) Revocation { return Revocation{keyID: keyID} }

// KeyID returns the id of the revoked key.
func (r Revocation) KeyID() string { return r.keyID }

func (Configuration) change() {}
func (TakeOut) change()       {}
func (Revocation) change()    {}
