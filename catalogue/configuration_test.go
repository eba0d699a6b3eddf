package catalogue_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/provider"
)

// drawHistory commits random changes. It returns the table and the snapshot after the last change.
func drawHistory(t *rapid.T, tb testing.TB) (*table, *catalogue.Configuration) {
	tbl, c := newTable(), catalogue.NewConfiguration()
	tx, err := catalogue.ChangeCatalogue(c, drawCatalogue(t), "ana", start)
	c = tbl.mustApply(tb, c, tx, err)
	for i := range rapid.IntRange(0, 10).Draw(t, "changes") {
		when := start.Add(time.Duration(i) * time.Second)
		out := rapid.Bool().Draw(t, "out")
		switch rapid.IntRange(0, 4).Draw(t, "change") {
		case 0:
			tx, err = catalogue.ChangeCatalogue(c, drawCatalogue(t), "ana", when)
		case 1:
			k, _ := newKey(tb, "team-1", catalogue.RoleOwner, int64(i), time.Time{})
			tx, err = catalogue.GrantKey(c, k)
		case 2:
			if len(c.Keys()) == 0 {
				continue
			}
			tx, err = catalogue.RevokeKey(c, c.Keys()[0].ID(), "ben", when)
		case 3:
			tx, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(out, "ben", when))
		case 4:
			tx, err = catalogue.SetVM(c, "vm-1", catalogue.NewVMState("main", out, "disk", "ben", when))
		}
		c = tbl.mustApply(tb, c, tx, err)
	}
	return tbl, c
}

// describe returns the values that the exported methods of a snapshot return.
func describe(c *catalogue.Configuration) string {
	text := fmt.Sprint(
		c.LatestRevision(), string(c.Catalogue().Encode()), c.Zones(), c.Zone("zone-a"), c.VMs(), c.VM("vm-1"),
	)
	for _, k := range c.Keys() {
		text += fmt.Sprint(k, k.Revoked(), c.RowVersion("config/key/"+k.ID()))
	}
	return text
}

// Guards against a snapshot that returns to an older state, and against one that depends on the order or repetition of
// the rows applied (R11).
func TestWithRowsIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tbl, want := drawHistory(rt, t)
		repeated := rapid.SliceOfN(rapid.SampledFrom(tbl.history), 0, 20).Draw(rt, "repeated")
		rows := rapid.Permutation(append(repeated, tbl.history...)).Draw(rt, "order")

		c := catalogue.NewConfiguration()
		for len(rows) > 0 {
			n := rapid.IntRange(1, len(rows)).Draw(rt, "batch")
			before := describe(c)
			next, err := c.WithRows(rows[:n])
			assert.NilError(rt, err)
			next.WithZoneOutOfService("zone-b").WithKeyRevoked("k")
			assert.Equal(rt, describe(c), before, "an existing snapshot has changed")
			assert.Equal(rt, len(next.EarlyZoneTakeOuts())+len(next.EarlyKeyRevocations()), 0)
			assert.Assert(rt, next.Version() >= c.Version())
			for _, r := range tbl.history {
				assert.Assert(rt, next.RowVersion(r.Key()) >= c.RowVersion(r.Key()))
			}
			c, rows = next, rows[n:]
		}
		assert.Assert(rt, reflect.DeepEqual(c, want))
	})
}

// Guards against an early take-out or revocation that is lost before it is committed to the table, and against a
// take-out that stays in force after an operator returned the zone to service.
func TestEarlyChangesLastUntilCommitted(t *testing.T) {
	tbl, c := newTable(), catalogue.NewConfiguration()
	k, _ := newKey(t, "", catalogue.RoleAdmin, 1, time.Time{})
	c = c.WithKeyRevoked(k.ID()).WithZoneOutOfService("zone-a")
	assert.Assert(t, c.Zone("zone-a").OutOfService())

	tx, err := catalogue.GrantKey(c, k)
	c = tbl.mustApply(t, c, tx, err)
	stored, ok := c.Key(k.ID())
	assert.Assert(t, ok && stored.Revoked() && c.Zone("zone-a").OutOfService(),
		"neither the grant nor other rows end early changes")
	assert.DeepEqual(t, c.EarlyKeyRevocations(), []string{k.ID()})

	tx, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "ana", start))
	c = tbl.mustApply(t, c, tx, err)
	assert.Equal(t, c.Zone("zone-a").Author(), "ana")
	assert.Equal(t, len(c.EarlyZoneTakeOuts()), 0)
	tx, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(false, "ben", start))
	c = tbl.mustApply(t, c, tx, err)
	assert.Assert(t, !c.Zone("zone-a").OutOfService())
	c = c.WithZoneOutOfService("zone-a")
	again, err := c.WithRows(tbl.history)
	assert.NilError(t, err)
	assert.Assert(t, again.Zone("zone-a").OutOfService(), "rows older than the take-out don't end it")

	tx, err = catalogue.RevokeKey(c, k.ID(), "ana", start)
	c = tbl.mustApply(t, c, tx, err)
	assert.Equal(t, len(c.EarlyKeyRevocations()), 0)
	stored, _ = c.Key(k.ID())
	assert.Assert(t, stored.Revoked())
}

// Guards against a deleted row that an older read restores or that prevents its next write, against a configuration
// version that doesn't increase, and against an invalid key row.
func TestWithRowsHandlesDeletedAndInvalidRows(t *testing.T) {
	tbl, c := newTable(), catalogue.NewConfiguration()
	tx, err := catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "ana", start))
	c = tbl.mustApply(t, c, tx, err)
	c, err = c.WithRows([]provider.Row{provider.NewDeletedRow("config/zone/zone-a", 2)})
	assert.NilError(t, err)
	c, err = c.WithRows(tbl.history)
	assert.NilError(t, err)
	assert.Assert(t, !c.Zone("zone-a").OutOfService())
	tx, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "ana", start))
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(tx.Conditions(), []provider.Condition{
		provider.NewCondition(catalogue.VersionKey, 1), provider.NewCondition("config/zone/zone-a", 0),
	}))

	_, err = c.WithRows([]provider.Row{provider.NewRow(catalogue.VersionKey, []byte(`{"version": 1}`), 9)})
	assert.ErrorContains(t, err,
		"row config/version at table version 9: found configuration version 1, allowed: a version above 1")
	_, err = c.WithRows([]provider.Row{
		provider.NewRow("config/key/k", []byte(`{"role": "admin", "secret-hash": "00"}`), 9),
	})
	assert.ErrorContains(t, err, "secret-hash")
}

// Guards against accepting the changes of two operators to the same snapshot, and against a conflict error that doesn't
// describe the change that was committed first.
func TestConflictErrorDescribesCommittedChange(t *testing.T) {
	tbl, c := newTable(), catalogue.NewConfiguration()
	first, err := catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "ana", start))
	assert.NilError(t, err)
	second, err := catalogue.SetVM(c, "vm-1", catalogue.NewVMState("", true, "", "ben", start))
	assert.NilError(t, err)

	assert.Equal(t, tbl.commit(first), provider.CommitOutcome(provider.NewCommitted(1)))
	conflict, ok := tbl.commit(second).(provider.Conflict)
	assert.Assert(t, ok)
	assert.Error(t, catalogue.ConflictError(conflict.Row()),
		"conflict with version 1 by ana at 2026-01-02T03:04:05Z: availability zone zone-a out")
}

// Guards against changes that leave a VM in a pool that doesn't exist, that would make keys valid for a later team, or
// that have no author.
func TestInvalidChangesAreRejected(t *testing.T) {
	tbl, c := newTable(), catalogue.NewConfiguration()
	full, err := catalogue.Parse([]byte(document), "c.yaml")
	assert.NilError(t, err)
	small, err := catalogue.New(nil, nil, []catalogue.Pool{catalogue.NewPool("spare", true, 1)})
	assert.NilError(t, err)
	tx, err := catalogue.ChangeCatalogue(c, full, "ana", start)
	c = tbl.mustApply(t, c, tx, err)

	_, err = catalogue.SetVM(c, "vm-1", catalogue.NewVMState("nowhere", false, "", "ana", start))
	assert.ErrorContains(t, err, `unknown pool "nowhere"`)
	_, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "", start))
	assert.ErrorContains(t, err, "author")
	_, err = catalogue.SetZone(c, "zone/a", catalogue.NewZoneState(true, "ana", start))
	assert.ErrorContains(t, err, "availability zone")
	teamless, _ := newKey(t, "stray", catalogue.RoleOwner, 1, time.Time{})
	_, err = catalogue.GrantKey(c, teamless)
	assert.ErrorContains(t, err, "unknown team")

	k, _ := newKey(t, "adria", catalogue.RoleOwner, 2, time.Time{})
	tx, err = catalogue.GrantKey(c, k)
	granted := tbl.mustApply(t, c, tx, err)
	_, err = catalogue.GrantKey(granted, k)
	assert.ErrorContains(t, err, "already exists")
	_, err = catalogue.ChangeCatalogue(granted, small, "ana", start)
	assert.ErrorContains(t, err, "team adria can't be removed")
	tx, err = catalogue.SetVM(granted, "vm-1", catalogue.NewVMState("proofs", false, "", "ana", start))
	placed := tbl.mustApply(t, granted, tx, err)
	_, err = catalogue.ChangeCatalogue(placed, small, "ana", start)
	assert.ErrorContains(t, err, "pool proofs can't be removed: VM vm-1 belongs to it")
}
