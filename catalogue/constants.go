package catalogue

import "time"

// Limits on the size of a catalogue. They keep one row of the table and one copy in memory within a few MiB.
const (
	MaxEntries = 10_000
	MaxTeams   = 1_000
	MaxPools   = 200
)

// Limits on numbers.
const (
	MaxShare        = 1_000_000
	MaxTeamLimit    = 1_000_000
	MaxBudget       = 10_000
	MaxEntryRunning = 1_000_000
)

// Limits on the shape of one task.
const (
	MaxProcessors   = 4_096
	MaxMemoryMiB    = 64 << 20
	MaxAccelerators = 256
	MaxSlots        = 1_024
)

// Limits and defaults of times and sizes.
const (
	MinDeadline          = time.Millisecond
	DefaultDeadline      = 24 * time.Hour
	LongestDeadline      = 30 * 24 * time.Hour
	LongestStartDelay    = 30 * 24 * time.Hour
	DefaultPayloadBytes  = 1 << 20
	LargestPayloadBytes  = 64 << 20
	maxTextBytes         = 256
	maxChangesInRevision = 3
)

// Sizes of the parts of a key, in bytes before the base32 encoding.
const (
	keyIDBytes     = 10
	keySecretBytes = 32
)

// Prefix is the prefix of all rows of the configuration.
const Prefix = "config/"

// VersionKey and CatalogueKey are the keys of the two single rows.
const (
	VersionKey   = Prefix + "version"
	CatalogueKey = Prefix + "catalogue"
)

const (
	zonePrefix = Prefix + "zone/"
	vmPrefix   = Prefix + "vm/"
	keyPrefix  = Prefix + "key/"
)
