package catalogue

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Configuration is an immutable snapshot of all rows of the table under Prefix, plus take-outs and revocations that
// were applied early, before they are in the table.
type Configuration struct {
	revision  Revision
	catalogue *Catalogue
	zones     map[string]ZoneState
	vms       map[string]VMState
	keys      map[string]Key
	rows      map[string]rowState
	early     early
}

// rowState is the version of a row. Deletions are kept, so that an older row can't come back.
type rowState struct {
	version uint64
	deleted bool
}

// early holds what was applied before it is in the table. A zone maps to the version of its row at that time.
type early struct {
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
		early:     early{zones: make(map[string]uint64), keys: make(map[string]struct{})},
	}
}

// With returns the snapshot with these rows applied. A row that is no newer than the one held is ignored, and so are
// rows outside of Prefix. The rows must be all that changed since an earlier read, otherwise Version can name a change
// whose other rows are missing. An error, for a row that can't be read, leaves nothing applied.
func (c *Configuration) With(rows []provider.Row) (*Configuration, error) {
	n := c
	for _, r := range rows {
		if !strings.HasPrefix(r.Key(), Prefix) || r.Version() <= n.rows[r.Key()].version {
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
		n.dropStored()
	}
	return n, nil
}

func (c *Configuration) clone() *Configuration {
	n := *c
	n.zones = maps.Clone(c.zones)
	n.vms = maps.Clone(c.vms)
	n.keys = maps.Clone(c.keys)
	n.rows = maps.Clone(c.rows)
	n.early = early{zones: maps.Clone(c.early.zones), keys: maps.Clone(c.early.keys)}
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
		return errors.New("the configuration version was deleted")
	}
	v, err := decodeRevision(r.Value())
	if err != nil {
		return err
	}
	if v.version <= c.revision.version {
		return errors.Errorf("configuration version %d follows version %d", v.version, c.revision.version)
	}
	c.revision = v
	return nil
}

func (c *Configuration) applyCatalogue(r provider.Row) error {
	if r.Deleted() {
		return errors.New("the catalogue was deleted")
	}
	k, err := Decode(r.Value())
	if err != nil {
		return err
	}
	c.catalogue = k
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

// dropStored ends the early applications that the table now answers for. A zone is answered for by any row newer than
// the one known at the take-out, because an operator can have brought the zone back since. A key is answered for by
// its revocation only, because a revocation is final and its grant may arrive later than the early revocation.
func (c *Configuration) dropStored() {
	for name, v := range c.early.zones {
		if c.rows[zonePrefix+name].version > v {
			delete(c.early.zones, name)
		}
	}
	for id := range c.early.keys {
		if c.keys[id].revoked || c.rows[keyPrefix+id].deleted {
			delete(c.early.keys, id)
		}
	}
}

// WithZoneOut returns the snapshot with a take-out applied that isn't in the table yet. It holds until With sees a row
// of the availability zone that is newer than the one held now.
func (c *Configuration) WithZoneOut(name string) *Configuration {
	if c.Zone(name).Out() {
		return c
	}
	n := *c
	n.early.zones = maps.Clone(c.early.zones)
	n.early.zones[name] = c.rows[zonePrefix+name].version
	return &n
}

// WithKeyRevoked returns the snapshot with a revocation applied that isn't in the table yet. It holds until With sees
// the row of the key revoked or deleted. The key itself may still be unknown.
func (c *Configuration) WithKeyRevoked(id string) *Configuration {
	if k, ok := c.Key(id); ok && k.revoked {
		return c
	}
	n := *c
	n.early.keys = maps.Clone(c.early.keys)
	n.early.keys[id] = struct{}{}
	return &n
}

// EarlyZones returns the availability zones whose take-out isn't in the table yet, sorted.
func (c *Configuration) EarlyZones() []string { return slices.Sorted(maps.Keys(c.early.zones)) }

// EarlyKeys returns the ids of the keys whose revocation isn't in the table yet, sorted.
func (c *Configuration) EarlyKeys() []string { return slices.Sorted(maps.Keys(c.early.keys)) }

// Version returns the configuration version, 0 if there is no configuration.
func (c *Configuration) Version() uint64 { return c.revision.version }

// Change returns who made the last change, when, and what it was.
func (c *Configuration) Change() Revision { return c.revision }

// Catalogue returns the catalogue. It is empty until the first one was stored, and never nil.
func (c *Configuration) Catalogue() *Catalogue { return c.catalogue }

// Zone returns the state of an availability zone. A zone without a row is in service.
func (c *Configuration) Zone(name string) ZoneState {
	if _, ok := c.early.zones[name]; ok {
		return ZoneState{out: true}
	}
	return c.zones[name]
}

// Zones returns the names of all availability zones that have a state, sorted.
func (c *Configuration) Zones() []string {
	all := maps.Clone(c.zones)
	for name := range c.early.zones {
		all[name] = ZoneState{}
	}
	return slices.Sorted(maps.Keys(all))
}

// VM returns the state of a VM. A VM without a row has no pool.
func (c *Configuration) VM(id string) VMState { return c.vms[id] }

// VMs returns the ids of all VMs that have a state, sorted.
func (c *Configuration) VMs() []string { return slices.Sorted(maps.Keys(c.vms)) }

// Key returns the key of this id, revoked if the revocation was applied early.
func (c *Configuration) Key(id string) (Key, bool) {
	k, ok := c.keys[id]
	if _, early := c.early.keys[id]; early && ok {
		k = k.withRevoked()
	}
	return k, ok
}

// Keys returns all keys in order of their ids.
func (c *Configuration) Keys() []Key {
	keys := make([]Key, 0, len(c.keys))
	for _, id := range slices.Sorted(maps.Keys(c.keys)) {
		k, _ := c.Key(id)
		keys = append(keys, k)
	}
	return keys
}

// RowVersion returns the table version of a row for use in a condition, 0 if the row doesn't exist.
func (c *Configuration) RowVersion(key string) uint64 {
	if r := c.rows[key]; !r.deleted {
		return r.version
	}
	return 0
}
