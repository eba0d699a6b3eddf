package catalogue

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// ChangeCatalogue returns the transaction that replaces the catalogue. It returns an error if next lacks a pool to
// which VMs belong, or a team with valid keys: they would become valid for a later team of the same name.
func ChangeCatalogue(
	c *Configuration, next *Catalogue, author string, changedAt time.Time,
) (provider.Transaction, error) {
	for _, id := range c.VMs() {
		pool := c.vms[id].pool
		if _, ok := next.Pool(pool); !ok && pool != "" {
			return provider.Transaction{}, errors.Errorf("pool %s can't be removed: VM %s belongs to it", pool, id)
		}
	}
	for _, k := range c.Keys() {
		if _, ok := next.Team(k.team); !ok && k.team != "" && !c.keys[k.id].revoked && !k.Expired(changedAt) {
			return provider.Transaction{}, errors.Errorf("team %s can't be removed: %s is still valid", k.team, k)
		}
	}
	description := describeChanges(Diff(c.catalogue, next))
	return transaction(c, CatalogueKey, next.Encode(), author, changedAt, description)
}

// GrantKey returns the transaction that stores a new key. It returns an error if the key exists, or if its team isn't
// in the catalogue.
func GrantKey(c *Configuration, k Key) (provider.Transaction, error) {
	if _, ok := c.keys[k.id]; ok {
		return provider.Transaction{}, errors.Errorf("grant key: key %s already exists", k.id)
	}
	if _, ok := c.catalogue.Team(k.team); !ok && k.team != "" {
		return provider.Transaction{}, errors.Errorf(
			"grant key: found unknown team %s, allowed: a team of the catalogue", quote(k.team))
	}
	return transaction(c, keyPrefix+k.id, k.encode(), k.grantedBy, k.granted, "grant "+k.String())
}

// RevokeKey returns the transaction that revokes a key. It returns an error if the key doesn't exist.
func RevokeKey(c *Configuration, id, author string, changedAt time.Time) (provider.Transaction, error) {
	k, ok := c.keys[id]
	if !ok {
		return provider.Transaction{}, errors.Errorf("revoke key: unknown key %s", quote(id))
	}
	return transaction(c, keyPrefix+id, k.withRevoked().encode(), author, changedAt, "revoke "+k.String())
}

// SetZone returns the transaction that takes an availability zone out of service or returns it to service. It
// returns an error if the zone name or the author is invalid.
func SetZone(c *Configuration, name string, s ZoneState) (provider.Transaction, error) {
	if err := checkName("availability zone", name); err != nil {
		return provider.Transaction{}, err
	}
	description := fmt.Sprintf("availability zone %s %s", name, outOrIn(s.outOfService))
	return transaction(c, zonePrefix+name, s.encode(), s.author, s.changedAt, description)
}

// SetVM returns the transaction that sets the pool of a VM and takes it out of service or returns it to service. It
// returns an error if the pool isn't in the catalogue, or if the id, the reason or the author is invalid.
func SetVM(c *Configuration, id string, s VMState) (provider.Transaction, error) {
	if err := checkName("VM", id); err != nil {
		return provider.Transaction{}, err
	}
	if err := checkText("reason", s.reason, true); err != nil {
		return provider.Transaction{}, err
	}
	if _, ok := c.catalogue.Pool(s.pool); !ok && s.pool != "" {
		return provider.Transaction{}, errors.Errorf(
			"pool: found unknown pool %s, allowed: a pool of the catalogue", quote(s.pool))
	}

	description := fmt.Sprintf("VM %s %s, pool %s", id, outOrIn(s.outOfService), s.pool)
	if s.reason != "" {
		description += ": " + s.reason
	}
	return transaction(c, vmPrefix+id, s.encode(), s.author, s.changedAt, description)
}

// transaction returns a transaction that writes one row and the row VersionKey, on condition that neither has changed
// since the snapshot. Of two operators who change the same snapshot, only the first one succeeds.
func transaction(
	c *Configuration, key string, value []byte, author string, changedAt time.Time, description string,
) (provider.Transaction, error) {
	if err := checkText("author", author, false); err != nil {
		return provider.Transaction{}, err
	}
	revision := Revision{
		version: c.revision.version + 1, author: author, changedAt: changedAt.UTC().Round(0), description: description,
	}
	return provider.NewTransaction(
		[]provider.Condition{
			provider.NewCondition(VersionKey, c.RowVersion(VersionKey)),
			provider.NewCondition(key, c.RowVersion(key)),
		},
		[]provider.Write{provider.NewPut(VersionKey, revision.encode()), provider.NewPut(key, value)},
	), nil
}

func describeChanges(changes []Difference) string {
	if len(changes) == 0 {
		return "catalogue: no change"
	}
	listed := min(len(changes), maxChangesInRevision)
	descriptions := make([]string, 0, listed+1)
	for _, c := range changes[:listed] {
		descriptions = append(descriptions, c.String())
	}
	if n := len(changes) - listed; n > 0 {
		descriptions = append(descriptions, fmt.Sprintf("and %d more changes", n))
	}
	return strings.Join(descriptions, "; ")
}

func outOrIn(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
