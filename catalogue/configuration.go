package catalogue

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Configuration is an immutable snapshot of all table rows whose keys start with RowPrefix. It also holds
// early changes, which are applied before they are committed to the table: take-outs of availability zones, that is,
// taking them out of service, and revocations of keys.
type Configuration struct {
	revision  Revision
	catalogue *Catalogue
	zones     map[string]ZoneState
	vms       map[string]VMState
	keys      map[string]Key
	rows      map[string]rowState
	early     earlyChanges
}

// rowState is the table version of a row. Deleted rows keep theirs, so that an older read can't restore the row.
type rowState struct {
	version uint64
	deleted bool
}

// earlyChanges holds changes that aren't committed to the table yet. The zones map gives, for each zone that was taken
// out, the version of its row at that time. The keys are the ids of revoked keys.
type earlyChanges struct {
	zones map[string]uint64
	keys  map[string]struct{}
}

// NewConfiguration returns the snapshot of an empty table.
func NewConfiguration() *Configuration {
	return &Configuration{
		catalogue: newCatalogue(nil, nil, nil),
		zones:     make(map[string]ZoneState),
		vms:       make(map[string]VMState),
		keys:      make(map[string]Key),
		rows:      make(map[string]rowState),
		early:     earlyChanges{zones: make(map[string]uint64), keys: make(map[string]struct{})},
	}
}

// WithRows returns a snapshot with these rows applied. It ignores rows without the key prefix RowPrefix and rows that
// aren't newer than those of c. The rows must include all changes since an earlier read; otherwise the snapshot can
// have the version of a change without its other rows. WithRows returns an error, and no snapshot, if a row is invalid.
func (c *Configuration) WithRows(rows []provider.Row) (*Configuration, error) {
	n := c
	for _, r := range rows {
		if !strings.HasPrefix(r.Key(), RowPrefix) || r.Version() <= n.rows[r.Key()].version {
			continue
		}
		if n == c {
			n = c.clone()
		}
		if err := n.apply(r); err != nil {
			return nil, errors.Wrapf(err, "row %s at table version %d", r.Key(), r.Version())
		}
	}
	if n != c {
		n.dropCommitted()
	}
	return n, nil
}

func (c *Configuration) clone() *Configuration {
	n := *c
	n.zones = maps.Clone(c.zones)
	n.vms = maps.Clone(c.vms)
	n.keys = maps.Clone(c.keys)
	n.rows = maps.Clone(c.rows)
	n.early = earlyChanges{zones: maps.Clone(c.early.zones), keys: maps.Clone(c.early.keys)}
	return &n
}

func (c *Configuration) apply(r provider.Row) error {
	c.rows[r.Key()] = rowState{version: r.Version(), deleted: r.Deleted()}
	if name, ok := strings.CutPrefix(r.Key(), zonePrefix); ok {
		return c.applyZone(name, r)
	}
	if id, ok := strings.CutPrefix(r.Key(), vmPrefix); ok {
		return c.applyVM(id, r)
	}
	if id, ok := strings.CutPrefix(r.Key(), keyPrefix); ok {
		return c.applyKey(id, r)
	}
	switch r.Key() {
	case VersionKey:
		return c.applyRevision(r)
	case CatalogueKey:
		return c.applyCatalogue(r)
	default:
		return nil
	}
}

func (c *Configuration) applyRevision(r provider.Row) error {
	if r.Deleted() {
		return errors.New("found a deleted row, allowed: a configuration version")
	}
	revision, err := decodeRevision(r.Value())
	if err != nil {
		return err
	}
	if revision.version <= c.revision.version {
		return errors.Errorf(
			"found configuration version %d, allowed: a version above %d", revision.version, c.revision.version)
	}
	c.revision = revision
	return nil
}

func (c *Configuration) applyCatalogue(r provider.Row) error {
	if r.Deleted() {
		return errors.New("found a deleted row, allowed: a catalogue")
	}
	catalogue, err := Decode(r.Value())
	if err != nil {
		return err
	}
	c.catalogue = catalogue
	return nil
}

func (c *Configuration) applyZone(name string, r provider.Row) error {
	if r.Deleted() {
		delete(c.zones, name)
		return nil
	}
	s, err := decodeZoneState(r.Value())
	if err != nil {
		return err
	}
	c.zones[name] = s
	return nil
}

func (c *Configuration) applyVM(id string, r provider.Row) error {
	if r.Deleted() {
		delete(c.vms, id)
		return nil
	}
	s, err := decodeVMState(r.Value())
	if err != nil {
		return err
	}
	c.vms[id] = s
	return nil
}

func (c *Configuration) applyKey(id string, r provider.Row) error {
	if r.Deleted() {
		delete(c.keys, id)
		return nil
	}
	k, err := decodeKey(id, r.Value())
	if err != nil {
		return err
	}
	c.keys[id] = k
	return nil
}

// dropCommitted removes the early changes that rows of the table supersede. Any row of a zone that is newer than the
// row at the time of the take-out does so, because an operator may have returned the zone to service since. For a key,
// only a revoked or deleted row does so: a revocation is final, and the row of the grant may arrive after the early
// revocation.
func (c *Configuration) dropCommitted() {
	for name, version := range c.early.zones {
		if c.rows[zonePrefix+name].version > version {
			delete(c.early.zones, name)
		}
	}
	for id := range c.early.keys {
		if c.keys[id].revoked || c.rows[keyPrefix+id].deleted {
			delete(c.early.keys, id)
		}
	}
}

// WithZoneOutOfService returns a snapshot in which the availability zone is out of service, before the take-out is
// committed to the table. This lasts until WithRows applies a row of the zone that is newer than the current one.
func (c *Configuration) WithZoneOutOfService(name string) *Configuration {
	if c.Zone(name).OutOfService() {
		return c
	}
	n := *c
	n.early.zones = maps.Clone(c.early.zones)
	n.early.zones[name] = c.rows[zonePrefix+name].version
	return &n
}

// WithKeyRevoked returns a snapshot in which the key is revoked, before the revocation is committed to the table. This
// lasts until WithRows applies a row in which the key is revoked or deleted. The key may still be unknown.
func (c *Configuration) WithKeyRevoked(id string) *Configuration {
	if k, ok := c.Key(id); ok && k.revoked {
		return c
	}
	n := *c
	n.early.keys = maps.Clone(c.early.keys)
	n.early.keys[id] = struct{}{}
	return &n
}

// EarlyZoneTakeOuts returns the names of the availability zones whose take-out isn't committed to the table yet,
// sorted.
func (c *Configuration) EarlyZoneTakeOuts() []string { return slices.Sorted(maps.Keys(c.early.zones)) }

// EarlyKeyRevocations returns the ids of the keys whose revocation isn't committed to the table yet, sorted.
func (c *Configuration) EarlyKeyRevocations() []string { return slices.Sorted(maps.Keys(c.early.keys)) }

// Version returns the configuration version, 0 if there is no configuration.
func (c *Configuration) Version() uint64 { return c.revision.version }

// LatestRevision returns the latest revision, the zero Revision if there is no configuration.
func (c *Configuration) LatestRevision() Revision { return c.revision }

// Catalogue returns the catalogue. It is empty until the first one is stored, and never nil.
func (c *Configuration) Catalogue() *Catalogue { return c.catalogue }

// Zone returns the state of an availability zone. A zone without a row is in service.
func (c *Configuration) Zone(name string) ZoneState {
	if _, ok := c.early.zones[name]; ok {
		return ZoneState{outOfService: true}
	}
	return c.zones[name]
}

// Zones returns the names of all availability zones with a row or an early take-out, sorted.
func (c *Configuration) Zones() []string {
	all := maps.Clone(c.zones)
	for name := range c.early.zones {
		all[name] = ZoneState{}
	}
	return slices.Sorted(maps.Keys(all))
}

// VM returns the state of a VM. A VM without a row belongs to no pool.
func (c *Configuration) VM(id string) VMState { return c.vms[id] }

// VMs returns the ids of all VMs with a row, sorted.
func (c *Configuration) VMs() []string { return slices.Sorted(maps.Keys(c.vms)) }

// Key returns the key with this id, and whether it exists. Early revocations are applied.
func (c *Configuration) Key(id string) (Key, bool) {
	k, ok := c.keys[id]
	if _, revoked := c.early.keys[id]; revoked && ok {
		k = k.withRevoked()
	}
	return k, ok
}

// Keys returns all keys sorted by id. Early revocations are applied.
func (c *Configuration) Keys() []Key {
	keys := make([]Key, 0, len(c.keys))
	for _, id := range slices.Sorted(maps.Keys(c.keys)) {
		k, _ := c.Key(id)
		keys = append(keys, k)
	}
	return keys
}

// RowVersion returns the table version of a row, 0 if the row doesn't exist. It serves as the condition of a
// transaction.
func (c *Configuration) RowVersion(key string) uint64 {
	if r := c.rows[key]; !r.deleted {
		return r.version
	}
	return 0
}
