package catalogue

import "time"

// Limits on the size of a catalogue. They keep its table row and its copy in memory within a few MiB.
const (
	MaxEntries = 10_000
	MaxTeams   = 1_000
	MaxPools   = 200
)

// Upper limits of the settings of teams, pools and entries: a team's share (a weight) and limit (running tasks), a
// pool's budget (unavailable VMs), and the running tasks of one entry.
const (
	MaxTeamShare    = 1_000_000
	MaxTeamLimit    = 1_000_000
	MaxPoolBudget   = 10_000
	MaxEntryRunning = 1_000_000
)

// Upper limits of the resources of one task.
const (
	MaxProcessors   = 4_096
	MaxMemoryMiB    = 64 << 20
	MaxAccelerators = 256
	MaxSlots        = 1_024
)

// Limits and defaults of durations and sizes.
const (
	MinDeadline         = time.Millisecond
	DefaultDeadline     = 24 * time.Hour
	MaxDeadline         = 30 * 24 * time.Hour
	MaxStartDelay       = 30 * 24 * time.Hour
	DefaultPayloadBytes = 1 << 20
	MaxPayloadBytes     = 64 << 20

	// maxTextBytes limits free text, such as the reason of a change, and the input quoted in error messages.
	maxTextBytes = 256
	// maxChangesInRevision is the number of catalogue changes that the description of a revision lists.
	maxChangesInRevision = 3
)

// Lengths of the id and the secret of a key, in bytes before base32 encoding.
const (
	keyIDBytes     = 10
	keySecretBytes = 32
)

// RowPrefix is the key prefix of all configuration rows in the table.
const RowPrefix = "config/"

// Keys of the rows that hold the latest Revision and the encoded Catalogue.
const (
	VersionKey   = RowPrefix + "version"
	CatalogueKey = RowPrefix + "catalogue"
)

// Key prefixes of the rows of availability zones, VMs and API keys. The zone name or the id follows.
const (
	zonePrefix = RowPrefix + "zone/"
	vmPrefix   = RowPrefix + "vm/"
	keyPrefix  = RowPrefix + "key/"
)
