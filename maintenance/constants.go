package maintenance

import "time"

const (
	// DefaultDrainWindow is the default drain window: tasks that end within it aren't moved (design page, 5.7).
	DefaultDrainWindow = 30 * time.Second

	// DefaultRebootTime is the expected time from the reboot of a VM until it is present again. It is used for
	// estimates only.
	DefaultRebootTime = 2 * time.Minute

	// DefaultRolloutPeriod is the time within which every VM is maintained once (R24).
	DefaultRolloutPeriod = 5 * 7 * 24 * time.Hour

	// DefaultCoverage is the probability that there are enough spare VMs for the failures within one replacement
	// time.
	DefaultCoverage = 0.999

	// scheduleNumerator and scheduleDenominator give the fraction of the period over which the racks become due. The
	// rest of the period is a reserve for pauses.
	scheduleNumerator   = 4
	scheduleDenominator = 5

	// progressPrefix starts the progress of a roll-out in the reason of a row. The reason of a pool move, if there is
	// one, comes before it.
	progressPrefix  = "maintenance "
	reasonSeparator = " "
)
