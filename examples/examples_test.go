package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/settings"
)

// Guards against example files that no longer load, that don't match each other, or that differ from R18, R19, R21 and
// R22.
func TestExamplesMatchRequirements(t *testing.T) {
	shapes := map[string]provider.Shape{
		"omotnica":  provider.NewShape(64, 256<<10, 0, 8),
		"harmattan": provider.NewShape(32, 64<<10, 0, 8),
	}
	for dir, shape := range shapes {
		t.Run(dir, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(dir, "catalogue.yaml"))
			assert.NilError(t, err)
			c, err := catalogue.Parse(data, "catalogue.yaml")
			assert.NilError(t, err)
			s, err := settings.Load(filepath.Join(dir, "settings.yaml"))
			assert.NilError(t, err)
			p, err := settings.LoadStandIn(filepath.Join(dir, "platform.yaml"))
			assert.NilError(t, err)

			assert.Equal(t, len(c.Pools()), 5)
			assert.Equal(t, len(c.Teams()), 6)
			assert.Equal(t, s.Platform(), p.Listen())
			assert.Equal(t, s.LeaseDuration(), p.LeaseDuration())
			checkFleet(t, c, s, p, shape)
		})
	}
}

func checkFleet(t *testing.T, c *catalogue.Catalogue, s *settings.Settings, p *settings.StandIn, shape provider.Shape) {
	t.Helper()
	entries, racks, pools := make(map[string]int), make(map[string]int), make(map[string]int)
	listed := false
	for _, v := range p.VMs() {
		if v.Role() == provider.RoleEntryVM {
			entries[v.Zone()]++
			listed = listed || (v.ID() == s.Name() && v.Zone() == s.Zone() && v.Address() == s.PeerListen())
			continue
		}
		assert.Equal(t, v.Shape(), shape)
		racks[v.Rack()]++
		pools[p.InitialPool(v.ID())]++
	}
	assert.Assert(t, listed)
	assert.Equal(t, len(entries), 4)
	for _, n := range entries {
		assert.Equal(t, n, 2)
	}
	for _, n := range racks {
		assert.Equal(t, n, 4)
	}
	assert.Equal(t, len(pools), len(c.Pools()))
	for _, q := range c.Pools() {
		assert.Assert(t, pools[q.Name()] >= 9 && q.Budget() < pools[q.Name()], q.Name())
	}
	for _, e := range c.Entries() {
		assert.Assert(t, e.Shape().FitsIn(shape), e.Name())
	}
}
