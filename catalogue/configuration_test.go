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

// drawHistory commits some changes and returns the table with the snapshot after the last one.
func drawHistory(t *rapid.T, tb testing.TB) (*table, *catalogue.Configuration) {
	b, c := newTable(), catalogue.NewConfiguration()
	x, err := catalogue.ChangeCatalogue(c, drawCatalogue(t), "ana", start)
	c = b.mustApply(tb, c, x, err)
	for i := range rapid.IntRange(0, 10).Draw(t, "changes") {
		when := start.Add(time.Duration(i) * time.Second)
		out := rapid.Bool().Draw(t, "out")
		switch rapid.IntRange(0, 4).Draw(t, "change") {
		case 0:
			x, err = catalogue.ChangeCatalogue(c, drawCatalogue(t), "ana", when)
		case 1:
			k, _ := newKey(tb, "team-1", catalogue.RoleOwner, int64(i), time.Time{})
			x, err = catalogue.GrantKey(c, k)
		case 2:
			if len(c.Keys()) == 0 {
				continue
			}
			x, err = catalogue.RevokeKey(c, c.Keys()[0].ID(), "ben", when)
		case 3:
			x, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(out, "ben", when))
		case 4:
			x, err = catalogue.SetVM(c, "vm-1", catalogue.NewVMState("main", out, "disk", "ben", when))
		}
		c = b.mustApply(tb, c, x, err)
	}
	return b, c
}

// observe returns what readers see of a snapshot.
func observe(c *catalogue.Configuration) string {
	text := fmt.Sprint(c.Change(), string(c.Catalogue().Encode()), c.Zones(), c.Zone("zone-a"), c.VMs(), c.VM("vm-1"))
	for _, k := range c.Keys() {
		text += fmt.Sprint(k, k.Revoked(), c.RowVersion("config/key/"+k.ID()))
	}
	return text
}

// Guards against a copy that reverts, or that depends on the order and repetition of the rows it receives (R11).
func TestWithNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b, want := drawHistory(rt, t)
		repeated := rapid.SliceOfN(rapid.SampledFrom(b.history), 0, 20).Draw(rt, "repeated")
		rows := rapid.Permutation(append(repeated, b.history...)).Draw(rt, "order")

		c := catalogue.NewConfiguration()
		for len(rows) > 0 {
			n := rapid.IntRange(1, len(rows)).Draw(rt, "batch")
			before := observe(c)
			next, err := c.With(rows[:n])
			assert.NilError(rt, err)
			next.WithZoneOut("zone-b").WithKeyRevoked("k")
			assert.Equal(rt, observe(c), before, "a snapshot that was handed out has changed")
			assert.Equal(rt, len(next.EarlyZones())+len(next.EarlyKeys()), 0)
			assert.Assert(rt, next.Version() >= c.Version())
			for _, r := range b.history {
				assert.Assert(rt, next.RowVersion(r.Key()) >= c.RowVersion(r.Key()))
			}
			c, rows = next, rows[n:]
		}
		assert.Assert(rt, reflect.DeepEqual(c, want))
	})
}

// Guards against an early take-out or revocation that is lost before the table has it, and against a take-out that
// stays after an operator brought the zone back.
func TestEarlyApplications(t *testing.T) {
	b, c := newTable(), catalogue.NewConfiguration()
	k, _ := newKey(t, "", catalogue.RoleAdmin, 1, time.Time{})
	c = c.WithKeyRevoked(k.ID()).WithZoneOut("zone-a")
	assert.Assert(t, c.Zone("zone-a").Out())

	x, err := catalogue.GrantKey(c, k)
	c = b.mustApply(t, c, x, err)
	held, ok := c.Key(k.ID())
	assert.Assert(t, ok && held.Revoked() && c.Zone("zone-a").Out(), "the grant and an unrelated row end nothing")
	assert.DeepEqual(t, c.EarlyKeys(), []string{k.ID()})

	x, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "ana", start))
	c = b.mustApply(t, c, x, err)
	assert.Equal(t, c.Zone("zone-a").By(), "ana")
	assert.Equal(t, len(c.EarlyZones()), 0)
	x, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(false, "ben", start))
	c = b.mustApply(t, c, x, err)
	assert.Assert(t, !c.Zone("zone-a").Out())
	c = c.WithZoneOut("zone-a")
	again, err := c.With(b.history)
	assert.NilError(t, err)
	assert.Assert(t, again.Zone("zone-a").Out(), "rows read before the take-out don't end it")

	x, err = catalogue.RevokeKey(c, k.ID(), "ana", start)
	c = b.mustApply(t, c, x, err)
	assert.Equal(t, len(c.EarlyKeys()), 0)
	held, _ = c.Key(k.ID())
	assert.Assert(t, held.Revoked())
}

// Guards against a deleted row that comes back with an older read or blocks its next writer, and against a version
// that falls.
func TestDeletedAndFallingRows(t *testing.T) {
	b, c := newTable(), catalogue.NewConfiguration()
	x, err := catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "ana", start))
	c = b.mustApply(t, c, x, err)
	c, err = c.With([]provider.Row{provider.NewDeletedRow("config/zone/zone-a", 2)})
	assert.NilError(t, err)
	c, err = c.With(b.history)
	assert.NilError(t, err)
	assert.Assert(t, !c.Zone("zone-a").Out())
	x, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "ana", start))
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(x.Conditions(), []provider.Condition{
		provider.NewCondition(catalogue.VersionKey, 1), provider.NewCondition("config/zone/zone-a", 0),
	}))

	_, err = c.With([]provider.Row{provider.NewRow(catalogue.VersionKey, []byte(`{"version": 1}`), 9)})
	assert.ErrorContains(t, err, "row config/version at table version 9: configuration version 1 follows version 1")
	_, err = c.With([]provider.Row{provider.NewRow("config/key/k", []byte(`{"role": "admin", "secret-hash": "00"}`), 9)})
	assert.ErrorContains(t, err, "secret-hash")
}

// Guards against two operators who both believe that their change was accepted, and against a conflict that doesn't
// name the winner.
func TestConflictNamesWinner(t *testing.T) {
	b, c := newTable(), catalogue.NewConfiguration()
	first, err := catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "ana", start))
	assert.NilError(t, err)
	second, err := catalogue.SetVM(c, "vm-1", catalogue.NewVMState("", true, "", "ben", start))
	assert.NilError(t, err)

	assert.Equal(t, b.commit(first), provider.CommitOutcome(provider.NewCommitted(1)))
	lost, ok := b.commit(second).(provider.Conflict)
	assert.Assert(t, ok)
	assert.Error(t, catalogue.ConflictError(lost.Row()),
		"conflict with version 1 by ana at 2026-01-02T03:04:05Z: availability zone zone-a out")
}

// Guards against changes that leave a VM in no pool that exists, revive keys, or have no author.
func TestRefusedChanges(t *testing.T) {
	b, c := newTable(), catalogue.NewConfiguration()
	full, err := catalogue.Parse([]byte(document), "c.yaml")
	assert.NilError(t, err)
	small, err := catalogue.New(nil, nil, []catalogue.Pool{catalogue.NewPool("spare", true, 1)})
	assert.NilError(t, err)
	x, err := catalogue.ChangeCatalogue(c, full, "ana", start)
	c = b.mustApply(t, c, x, err)

	_, err = catalogue.SetVM(c, "vm-1", catalogue.NewVMState("nowhere", false, "", "ana", start))
	assert.ErrorContains(t, err, `unknown pool "nowhere"`)
	_, err = catalogue.SetZone(c, "zone-a", catalogue.NewZoneState(true, "", start))
	assert.ErrorContains(t, err, "author")
	_, err = catalogue.SetZone(c, "zone/a", catalogue.NewZoneState(true, "ana", start))
	assert.ErrorContains(t, err, "availability zone")
	stray, _ := newKey(t, "stray", catalogue.RoleOwner, 1, time.Time{})
	_, err = catalogue.GrantKey(c, stray)
	assert.ErrorContains(t, err, "unknown team")

	k, _ := newKey(t, "adria", catalogue.RoleOwner, 2, time.Time{})
	x, err = catalogue.GrantKey(c, k)
	granted := b.mustApply(t, c, x, err)
	_, err = catalogue.GrantKey(granted, k)
	assert.ErrorContains(t, err, "exists already")
	_, err = catalogue.ChangeCatalogue(granted, small, "ana", start)
	assert.ErrorContains(t, err, "team adria can't be removed")
	x, err = catalogue.SetVM(granted, "vm-1", catalogue.NewVMState("proofs", false, "", "ana", start))
	placed := b.mustApply(t, granted, x, err)
	_, err = catalogue.ChangeCatalogue(placed, small, "ana", start)
	assert.ErrorContains(t, err, "pool proofs can't be removed: VM vm-1 is in it")
}
