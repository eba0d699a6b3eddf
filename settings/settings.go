package settings

import (
	"slices"
	"time"
)

// Settings are the settings of one entry VM. They are immutable; methods that start with With return a changed copy.
type Settings struct {
	name                   string
	zone                   string
	listen                 string
	peerListen             string
	platform               string
	peers                  []string
	drainTimeout           time.Duration
	leaseDuration          time.Duration
	renewalInterval        time.Duration
	guardInterval          time.Duration
	freshnessLeaseDuration time.Duration
	readInterval           time.Duration
	maxBodyBytes           int
	readTimeout            time.Duration
	writeTimeout           time.Duration
	idleTimeout            time.Duration
	maxWait                time.Duration
	queueBound             int
	verbosity              int
	tls                    TLS
}

// Default returns the default settings of an entry VM in the availability zone. It listens on loopback ports that the
// operating system selects, and has no platform address.
func Default(zone string) *Settings {
	return &Settings{
		name: "entry-" + zone, zone: zone, listen: "127.0.0.1:0", peerListen: "127.0.0.1:0",
		drainTimeout: DefaultDrainTimeout, leaseDuration: DefaultLeaseDuration, renewalInterval: DefaultRenewalInterval,
		guardInterval:          DefaultGuardInterval,
		freshnessLeaseDuration: DefaultFreshnessLeaseDuration, readInterval: DefaultReadInterval,
		maxBodyBytes: DefaultMaxBodyBytes,
		readTimeout:  DefaultReadTimeout, writeTimeout: DefaultWriteTimeout, idleTimeout: DefaultIdleTimeout,
		maxWait: DefaultMaxWait, queueBound: DefaultQueueBound,
	}
}

// WithName sets the name.
func (s Settings) WithName(name string) *Settings { s.name = name; return &s }

// WithAddresses sets the listen addresses for callers and for peers, and the address of the platform, each as
// host:port.
func (s Settings) WithAddresses(listen, peerListen, platform string) *Settings {
	s.listen, s.peerListen, s.platform = listen, peerListen, platform
	return &s
}

// WithPeers sets the addresses of the entry VMs to contact at startup.
func (s Settings) WithPeers(peers ...string) *Settings { s.peers = slices.Clone(peers); return &s }

// WithDrainTimeout sets the drain timeout.
func (s Settings) WithDrainTimeout(d time.Duration) *Settings { s.drainTimeout = d; return &s }

// Name returns the name of the entry VM, which is its id in the platform's list of VMs.
func (s *Settings) Name() string { return s.name }

// Zone returns the availability zone of the entry VM.
func (s *Settings) Zone() string { return s.zone }

// Listen returns the listen address, as host:port, for callers and operators.
func (s *Settings) Listen() string { return s.listen }

// PeerListen returns the listen address, as host:port, for other entry VMs.
func (s *Settings) PeerListen() string { return s.peerListen }

// Platform returns the address, as host:port, of the platform's table, object store and list of VMs.
func (s *Settings) Platform() string { return s.platform }

// Peers returns the addresses of the entry VMs to contact at startup. If it is empty, they come from the platform's
// list of VMs. Callers must not modify the slice.
func (s *Settings) Peers() []string { return s.peers }

// DrainTimeout returns the time within which the process exits after SIGTERM.
func (s *Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// LeaseDuration returns the longest time for which the entry VM uses a lease of a backend server, counted from the
// request that acquired or renewed it.
func (s *Settings) LeaseDuration() time.Duration { return s.leaseDuration }

// RenewalInterval returns the interval between renewals of a lease.
func (s *Settings) RenewalInterval() time.Duration { return s.renewalInterval }

// GuardInterval returns the guard interval before the end of a server lease and after the end of a freshness lease.
func (s *Settings) GuardInterval() time.Duration { return s.guardInterval }

// FreshnessLeaseDuration returns the duration of a freshness lease.
func (s *Settings) FreshnessLeaseDuration() time.Duration { return s.freshnessLeaseDuration }

// ReadInterval returns the interval between delta scans of the table.
func (s *Settings) ReadInterval() time.Duration { return s.readInterval }

// MaxBodyBytes returns the largest size of an HTTP body in bytes.
func (s *Settings) MaxBodyBytes() int { return s.maxBodyBytes }

// ReadTimeout returns the time within which a request must be read.
func (s *Settings) ReadTimeout() time.Duration { return s.readTimeout }

// WriteTimeout returns the time within which a response must be written.
func (s *Settings) WriteTimeout() time.Duration { return s.writeTimeout }

// IdleTimeout returns the time after which an idle connection is closed.
func (s *Settings) IdleTimeout() time.Duration { return s.idleTimeout }

// MaxWait returns the longest time that a query may wait for a state to change.
func (s *Settings) MaxWait() time.Duration { return s.maxWait }

// QueueBound returns the largest number of waiting requests of one team.
func (s *Settings) QueueBound() int { return s.queueBound }

// LogVerbosity returns the verbosity of the log, 0 to 10.
func (s *Settings) LogVerbosity() int { return s.verbosity }

// TLS returns the paths of the TLS files.
func (s *Settings) TLS() TLS { return s.tls }

// TLS holds the paths of the TLS files. The zero value means that TLS isn't used.
type TLS struct {
	certificatePath string
	keyPath         string
	caPath          string
}

// Enabled reports whether TLS is used.
func (t TLS) Enabled() bool { return t != TLS{} }

// CertificatePath returns the path of the certificate, a PEM file.
func (t TLS) CertificatePath() string { return t.certificatePath }

// KeyPath returns the path of the private key, a PEM file.
func (t TLS) KeyPath() string { return t.keyPath }

// CAPath returns the path of the CA certificates, a PEM file, which verify the certificates of other entry VMs and
// of the platform.
func (t TLS) CAPath() string { return t.caPath }
