package catalogue

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// ChangeCatalogue returns the transaction that replaces the catalogue. A pool can't be removed while VMs are in it, nor
// a team while it has keys that work, because they would work again for a later team of the same name.
func ChangeCatalogue(c *Configuration, next *Catalogue, by string, when time.Time) (provider.Transaction, error) {
	for _, id := range c.VMs() {
		pool := c.vms[id].pool
		if _, ok := next.Pool(pool); !ok && pool != "" {
			return provider.Transaction{}, errors.Errorf("pool %s can't be removed: VM %s is in it", pool, id)
		}
	}
	for _, k := range c.Keys() {
		if _, ok := next.Team(k.team); !ok && k.team != "" && !c.keys[k.id].revoked && !k.Expired(when) {
			return provider.Transaction{}, errors.Errorf("team %s can't be removed: %s works", k.team, k)
		}
	}
	what := describeChanges(Diff(c.catalogue, next))
	return transaction(c, CatalogueKey, next.Encode(), by, when, what)
}

// GrantKey returns the transaction that stores a new key. The key's team must be in the catalogue.
func GrantKey(c *Configuration, k Key) (provider.Transaction, error) {
	if _, ok := c.keys[k.id]; ok {
		return provider.Transaction{}, errors.Errorf("key %s exists already", k.id)
	}
	if _, ok := c.catalogue.Team(k.team); !ok && k.team != "" {
		return provider.Transaction{}, errors.Errorf("unknown team %s", quote(k.team))
	}
	return transaction(c, keyPrefix+k.id, k.encode(), k.grantedBy, k.granted, "grant "+k.String())
}

// RevokeKey returns the transaction that revokes a key.
func RevokeKey(c *Configuration, id, by string, when time.Time) (provider.Transaction, error) {
	k, ok := c.keys[id]
	if !ok {
		return provider.Transaction{}, errors.Errorf("unknown key %s", quote(id))
	}
	return transaction(c, keyPrefix+id, k.withRevoked().encode(), by, when, "revoke "+k.String())
}

// SetZone returns the transaction that takes an availability zone out or brings it back.
func SetZone(c *Configuration, name string, s ZoneState) (provider.Transaction, error) {
	if err := checkName("availability zone", name); err != nil {
		return provider.Transaction{}, err
	}
	what := fmt.Sprintf("availability zone %s %s", name, outOrIn(s.out))
	return transaction(c, zonePrefix+name, s.encode(), s.by, s.when, what)
}

// SetVM returns the transaction that sets the pool of a VM and takes it out or brings it back.
func SetVM(c *Configuration, id string, s VMState) (provider.Transaction, error) {
	if err := checkName("VM", id); err != nil {
		return provider.Transaction{}, err
	}
	if err := checkText("reason", s.reason, true); err != nil {
		return provider.Transaction{}, err
	}
	if _, ok := c.catalogue.Pool(s.pool); !ok && s.pool != "" {
		return provider.Transaction{}, errors.Errorf("unknown pool %s", quote(s.pool))
	}

	what := fmt.Sprintf("VM %s %s, pool %s", id, outOrIn(s.out), s.pool)
	if s.reason != "" {
		what += ": " + s.reason
	}
	return transaction(c, vmPrefix+id, s.encode(), s.by, s.when, what)
}

// transaction writes one row and the version row. Both are conditional on the versions seen, so that of two operators
// who change the same snapshot only the first succeeds.
func transaction(
	c *Configuration, key string, value []byte, by string, when time.Time, what string,
) (provider.Transaction, error) {
	if err := checkText("author", by, false); err != nil {
		return provider.Transaction{}, err
	}
	v := Revision{version: c.revision.version + 1, by: by, when: when.UTC().Round(0), what: what}
	return provider.NewTransaction(
		[]provider.Condition{
			provider.NewCondition(VersionKey, c.RowVersion(VersionKey)),
			provider.NewCondition(key, c.RowVersion(key)),
		},
		[]provider.Write{provider.NewPut(VersionKey, v.encode()), provider.NewPut(key, value)},
	), nil
}

func describeChanges(changes []Change) string {
	if len(changes) == 0 {
		return "catalogue: no change"
	}
	shown := min(len(changes), maxChangesInRevision)
	texts := make([]string, 0, shown+1)
	for _, c := range changes[:shown] {
		texts = append(texts, c.String())
	}
	if n := len(changes) - shown; n > 0 {
		texts = append(texts, fmt.Sprintf("and %d more changes", n))
	}
	return strings.Join(texts, "; ")
}

func outOrIn(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
