package settings

import (
	"net/netip"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/document"
)

const (
	nameRule    = "a name of 1 to 63 lower-case letters, digits and hyphens"
	listenRule  = "an IP address and a port, such as 127.0.0.1:7100"
	addressRule = "an IP address other than 0.0.0.0 or [::], and a port, such as 127.0.0.1:7100"
	pathRule    = "the path of a file"
)

// Parse parses and validates the settings of an entry VM, a YAML document. The error is a *document.Error with all
// problems. The file name is used in messages only. Parse doesn't check whether the TLS files exist.
func Parse(data []byte, file string) (*Settings, error) {
	d := document.ParseYAML(data, file)
	s := readSettings(d.Root())
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readSettings(root *document.Section) *Settings {
	root.Require("name", "zone", "listen", "peer-listen", "platform")
	s := Default("")
	s.name = root.CheckedText("name", "", nameRule, catalogue.ValidName)
	s.zone = root.CheckedText("zone", "", nameRule, catalogue.ValidName)
	s.listen = root.CheckedText("listen", "", listenRule, validListen)
	s.peerListen = root.CheckedText("peer-listen", "", listenRule, validListen)
	s.platform = root.CheckedText("platform", "", addressRule, validAddress)
	s.drainTimeout = root.Duration("drain-timeout", s.drainTimeout, minDuration, maxTimeout)
	s.queueBound = root.Int("queue-bound", s.queueBound, 1, maxQueueBound)
	s.verbosity = root.Int("log-verbosity", 0, 0, maxVerbosity)
	if s.listen == s.peerListen && s.listen != "" {
		root.Report("peer-listen", s.peerListen, "an address other than that of listen")
	}

	s.readPeers(root)
	s.readTimes(root.Section("lease"), root.Section("freshness"))
	s.readLimits(root.Section("limits"))
	s.readTLS(root)
	return s
}

func (s *Settings) readPeers(root *document.Section) {
	seen := map[string]struct{}{s.peerListen: {}}
	for _, item := range root.Texts("peers", maxPeers, addressRule, validAddress) {
		if _, ok := seen[item.Text()]; ok {
			item.Report("duplicate address "+item.Text(), "each address once, other than that of peer-listen")
		}
		seen[item.Text()] = struct{}{}
		s.peers = append(s.peers, item.Text())
	}
}

// readTimes reads the times of leases and of freshness, and checks the inequalities of sections 5.2 to 5.4 of the
// design page.
func (s *Settings) readTimes(lease, freshness *document.Section) {
	s.leaseDuration = lease.Duration("duration", s.leaseDuration, minDuration, MaxLeaseDuration)
	s.renewalInterval = lease.Duration("renewal", s.renewalInterval, minDuration, MaxLeaseDuration)
	s.guardInterval = lease.Duration("guard", s.guardInterval, minDuration, MaxLeaseDuration)
	s.freshnessLeaseDuration = freshness.Duration("grant", s.freshnessLeaseDuration, minDuration, MaxInForceDelay)
	s.readInterval = freshness.Duration("read-interval", s.readInterval, minDuration, MaxInForceDelay)

	if s.guardInterval >= s.renewalInterval {
		lease.Report("guard", document.FormatDuration(s.guardInterval),
			"less than lease.renewal, which is "+document.FormatDuration(s.renewalInterval))
	}
	if s.renewalInterval+s.guardInterval >= s.leaseDuration {
		lease.Report("renewal", document.FormatDuration(s.renewalInterval),
			"less than lease.duration minus lease.guard, which is "+document.FormatDuration(s.leaseDuration-s.guardInterval))
	}
	if s.freshnessLeaseDuration+s.guardInterval > MaxInForceDelay {
		freshness.Report("grant", document.FormatDuration(s.freshnessLeaseDuration),
			"at most 12s minus lease.guard, which is "+document.FormatDuration(MaxInForceDelay-s.guardInterval))
	}
	if 2*s.readInterval > s.freshnessLeaseDuration {
		freshness.Report("read-interval", document.FormatDuration(s.readInterval),
			"at most half of freshness.grant, which is "+document.FormatDuration(s.freshnessLeaseDuration/2))
	}
}

func (s *Settings) readLimits(limits *document.Section) {
	s.maxBodyBytes = int(limits.Size("body", int64(s.maxBodyBytes), minBodyBytes, maxBodyBytes, 1))
	s.readTimeout = limits.Duration("read-timeout", s.readTimeout, minDuration, maxTimeout)
	s.writeTimeout = limits.Duration("write-timeout", s.writeTimeout, minDuration, maxTimeout)
	s.idleTimeout = limits.Duration("idle-timeout", s.idleTimeout, minDuration, maxTimeout)
	s.maxWait = limits.Duration("wait", s.maxWait, minDuration, maxTimeout)
}

// readTLS reads the paths of the TLS files. They are required if any address isn't a loopback address, because the keys
// of callers and the requests of peers would cross the network unencrypted.
func (s *Settings) readTLS(root *document.Section) {
	section := root.Section("tls")
	if root.Has("tls") {
		section.Require("certificate", "key", "authority")
	}
	s.tls = TLS{
		certificatePath: section.CheckedText("certificate", "", pathRule, validPath),
		keyPath:         section.CheckedText("key", "", pathRule, validPath),
		caPath:          section.CheckedText("authority", "", pathRule, validPath),
	}
	if root.Has("tls") {
		return
	}
	for _, a := range append([]string{s.listen, s.peerListen, s.platform}, s.peers...) {
		if a != "" && !isLoopback(a) {
			root.Report("tls", "nothing", "the files for TLS, because "+a+" isn't a loopback address")
			return
		}
	}
}

// validListen reports whether s is an IP address and a port other than 0, without an IPv6 zone.
func validListen(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0 && a.Addr().Zone() == ""
}

// validAddress reports whether s is an address that validListen accepts and to which a client can connect.
func validAddress(s string) bool {
	if !validListen(s) {
		return false
	}
	return !netip.MustParseAddrPort(s).Addr().Unmap().IsUnspecified()
}

func isLoopback(s string) bool {
	return netip.MustParseAddrPort(s).Addr().Unmap().IsLoopback()
}

func validPath(s string) bool { return s != "" && len(s) <= maxPathBytes }
