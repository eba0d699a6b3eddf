package peer

import "github.com/pistachiolead/pistachiolead/provider"

// Change is a change that an entry VM pushes to its peers: ConfigurationChange, TakeOut or Revocation.
type Change interface{ change() }

// ConfigurationChange holds the rows of a committed configuration change and the configuration version after it.
type ConfigurationChange struct {
	version uint64
	rows    []provider.Row
}

// NewConfigurationChange returns the change of the given rows, deletions included, that results in version.
func NewConfigurationChange(version uint64, rows []provider.Row) ConfigurationChange {
	return ConfigurationChange{version: version, rows: rows}
}

// Version returns the configuration version after the rows are applied.
func (c ConfigurationChange) Version() uint64 { return c.version }

// Rows returns the changed rows. Callers must not modify the slice.
func (c ConfigurationChange) Rows() []provider.Row { return c.rows }

// TakeOut takes an availability zone or a VM out of service. It may arrive before it is committed to the platform's
// table.
type TakeOut struct {
	zone string
	vm   string
}

// NewZoneTakeOut returns the take-out of the availability zone with the given name.
func NewZoneTakeOut(zone string) TakeOut { return TakeOut{zone: zone} }

// NewVMTakeOut returns the take-out of the VM with the given id.
func NewVMTakeOut(vm string) TakeOut { return TakeOut{vm: vm} }

// Zone returns the name of the availability zone, empty if a VM is taken out.
func (t TakeOut) Zone() string { return t.zone }

// VM returns the id of the VM, empty if an availability zone is taken out.
func (t TakeOut) VM() string { return t.vm }

// Revocation revokes an API key. It may arrive before it is committed to the platform's table.
type Revocation struct{ keyID string }

// NewRevocation returns the revocation of the API key with the given id.
func NewRevocation(keyID string) Revocation { return Revocation{keyID: keyID} }

// KeyID returns the id of the revoked API key.
func (r Revocation) KeyID() string { return r.keyID }

func (ConfigurationChange) change() {}
func (TakeOut) change()             {}
func (Revocation) change()          {}
