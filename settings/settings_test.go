package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/document"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/settings"
)

const minimal = `name: entry-a
zone: zone-a
listen: 127.0.0.1:7100
peer-listen: 127.0.0.1:7200
platform: 127.0.0.1:7000
`

const standIn = `listen: 127.0.0.1:7000
vms:
  - {id: entry-a, role: entry, zone: zone-a, rack: rack-0, address: "127.0.0.1:7200"}
  - id: server-1
    role: backend
    zone: zone-a
    rack: rack-1
    address: 127.0.0.1:7300
    pool: proofs
    shape: {processors: 64, memory: 256GiB, slots: 8}
`

// Guards against defaults that differ from sections 5.2 and 5.4 of the design page.
func TestDefaults(t *testing.T) {
	s, err := settings.Parse([]byte(minimal), "s.yaml")
	assert.NilError(t, err)
	assert.Equal(t, s.LeaseDuration(), 6*time.Second)
	assert.Equal(t, s.RenewalInterval(), 2*time.Second)
	assert.Equal(t, s.GuardInterval(), time.Second)
	assert.Equal(t, s.FreshnessLeaseDuration(), 9*time.Second)
	assert.Equal(t, s.ReadInterval(), 500*time.Millisecond)
	assert.Equal(t, s.QueueBound(), 2000)
	assert.Assert(t, !s.TLS().Enabled())

	local := settings.Default("zone-a").WithName("entry-a").
		WithAddresses("127.0.0.1:7100", "127.0.0.1:7200", "127.0.0.1:7000")
	assert.Assert(t, reflect.DeepEqual(local, s))
}

// Guards against accepting settings that are invalid or contradict each other, and against errors without the line, the
// field or the value.
func TestParseReportsLocation(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"name: entry-a", "name: 7", `s.yaml:1: name: found 7, allowed: a name of 1 to 63`},
		{"zone: zone-a\n", "", `s.yaml:1: zone: found nothing, allowed: this field is required`},
		{"zone: zone-a", "zone: zone-a\nregion: x", `s.yaml:3: region: found an unknown field, allowed: drain-timeout,`},
		{"127.0.0.1:7100", "localhost:7100", `s.yaml:3: listen: found "localhost:7100", allowed: an IP address and a port`},
		{"127.0.0.1:7100", "127.0.0.1:0", `s.yaml:3: listen: found "127.0.0.1:0"`},
		{"127.0.0.1:7200", "127.0.0.1:7100", `s.yaml:4: peer-listen: found 127.0.0.1:7100`},
		{"127.0.0.1:7000", "0.0.0.0:7000", `s.yaml:5: platform: found "0.0.0.0:7000"`},
		{"127.0.0.1:7000", "127.0.0.1:7000\npeers: ['127.0.0.1:7200']", `s.yaml:6: peers[0]: found duplicate address 127.0.0.1:7200`},
		{"127.0.0.1:7100", "0.0.0.0:7100", `s.yaml:1: tls: found nothing, allowed: the files for TLS, because 0.0.0.0:7100`},
		{"127.0.0.1:7100", "127.0.0.1:7100\ntls: {key: k}", `s.yaml:4: tls.certificate: found nothing`},
		{"zone: zone-a", "zone: zone-a\nlease: {guard: 2s}", `s.yaml:3: lease.guard: found 2s, allowed: less than lease.renewal`},
		{"zone: zone-a", "zone: zone-a\nlease: {renewal: 5s}", `s.yaml:3: lease.renewal: found 5s, allowed: less than lease.dur`},
		{"zone: zone-a", "zone: zone-a\nlease: {duration: 7s}", `s.yaml:3: lease.duration: found "7s"`},
		{"zone: zone-a", "zone: zone-a\nfreshness: {grant: 11500ms}", `s.yaml:3: freshness.grant: found 11.5s, allowed: at most`},
		{"zone: zone-a", "zone: zone-a\nfreshness: {read-interval: 5s}", `s.yaml:3: freshness.read-interval: found 5s`},
		{"zone: zone-a", "zone: zone-a\nlimits: {body: 1}", `s.yaml:3: limits.body: found 1, allowed: a size in B, KiB`},
		{"zone: zone-a", "zone: zone-a\nqueue-bound: -1", `s.yaml:3: queue-bound: found -1`},
		{"zone: zone-a", "zone: zone-a\nlease: 6s", `s.yaml:3: lease: found "6s", allowed: a mapping`},
	} {
		assert.Assert(t, strings.Contains(minimal, c.old), c.old)
		_, err := settings.Parse([]byte(strings.Replace(minimal, c.old, c.new, 1)), "s.yaml")
		assert.ErrorContains(t, err, c.want)
	}
}

// Guards against accepting stand-in settings with an impossible fleet, such as a rack in two availability zones.
func TestParseStandInReportsLocation(t *testing.T) {
	s, err := settings.ParseStandIn([]byte(standIn), "p.yaml")
	assert.NilError(t, err)
	assert.Equal(t, s.VMs()[1].Shape(), provider.NewShape(64, 256<<10, 0, 8))
	assert.Equal(t, s.InitialPool("server-1"), "proofs")

	for _, c := range []struct{ old, new, want string }{
		{"server-1", "entry-a", `p.yaml:4: vms[1].id: found duplicate id "entry-a"`},
		{"127.0.0.1:7300", "127.0.0.1:7000", `p.yaml:8: vms[1].address: found duplicate address "127.0.0.1:7000"`},
		{"rack: rack-1", "rack: rack-0\n    zone: zone-b", `p.yaml:8: vms[1].zone: found a duplicate field`},
		{"zone: zone-a\n    rack: rack-1", "zone: zone-b\n    rack: rack-0", `p.yaml:7: vms[1].rack: found rack "rack-0", which is`},
		{"backend", "server", `p.yaml:5: vms[1].role: found "server", allowed: entry, backend`},
		{"backend", "entry", `p.yaml:9: vms[1].pool: found pool "proofs", allowed: no pool for an entry VM`},
		{", slots: 8", "", `p.yaml:10: vms[1].shape.slots: found nothing`},
		{"vms:", "task-lease: 12s\nvms:", `p.yaml:2: task-lease: found 12s, allowed: more than twice lease`},
	} {
		assert.Assert(t, strings.Contains(standIn, c.old), c.old)
		_, err := settings.ParseStandIn([]byte(strings.Replace(standIn, c.old, c.new, 1)), "p.yaml")
		assert.ErrorContains(t, err, c.want)
	}
}

// Guards against a missing TLS file that is detected only after ports are open.
func TestLoadChecksFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.yaml")
	text := minimal + "tls: {certificate: c.pem, key: k.pem, authority: /nonexistent/a.pem}\n"
	for _, f := range []struct{ name, text string }{{"c.pem", ""}, {"k.pem", ""}, {"s.yaml", text}} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, f.name), []byte(f.text), 0o600))
	}
	_, err := settings.Load(path)
	assert.ErrorContains(t, err, "/nonexistent/a.pem")

	assert.NilError(t, os.WriteFile(filepath.Join(dir, "a.pem"), nil, 0o600))
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(text, "/nonexistent/", "", 1)), 0o600))
	s, err := settings.Load(path)
	assert.NilError(t, err)
	assert.Equal(t, s.TLS().KeyPath(), filepath.Join(dir, "k.pem"))
	_, err = settings.Load(filepath.Join(dir, "none.yaml"))
	assert.ErrorContains(t, err, "none.yaml")
}

// Guards against accepting times that violate the inequalities of sections 5.2 to 5.4 of the design page, and against
// rejecting times that satisfy them.
func TestAcceptedTimesAreConsistent(t *testing.T) {
	ms := func(t *rapid.T, label string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	rapid.Check(t, func(t *rapid.T) {
		lease, renewal := ms(t, "lease", 1, 8_000), ms(t, "renewal", 1, 5_000)
		guard, grant := ms(t, "guard", 1, 3_000), ms(t, "grant", 1, 13_000)
		text := minimal + "lease: {duration: " + document.FormatDuration(lease) + ", renewal: " +
			document.FormatDuration(renewal) + ", guard: " + document.FormatDuration(guard) + "}\nfreshness: {grant: " +
			document.FormatDuration(grant) + ", read-interval: 1ms}\n"
		s, err := settings.Parse([]byte(text), "s.yaml")
		consistent := guard < renewal && renewal+guard < lease && lease <= 6*time.Second &&
			grant+guard <= 12*time.Second && grant >= 2*time.Millisecond
		assert.Equal(t, err == nil, consistent, "%s %v", text, err)
		if err == nil {
			assert.Equal(t, s.LeaseDuration(), lease)
			assert.Equal(t, s.FreshnessLeaseDuration(), grant)
		}
	})
}

// Guards against input that makes Parse or ParseStandIn panic, or return both a result and an error, or neither.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(standIn))
	f.Add([]byte(minimal + "lease: {duration: 1s}\nlimits: {body: 1MiB}\ntls: {key: a}\npeers: ['[::1]:1', 2]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data, "s.yaml")
		assert.Equal(t, s == nil, err != nil)
		p, err := settings.ParseStandIn(data, "p.yaml")
		assert.Equal(t, p == nil, err != nil)
	})
}
