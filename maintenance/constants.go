package maintenance

import "time"

const (
	// DefaultWindow is the drain window: tasks that end within it aren't moved (design page, 5.7).
	DefaultWindow = 30 * time.Second

	// DefaultReboot is the time a VM is expected to need from the reboot to its return. It is used for estimates only.
	DefaultReboot = 2 * time.Minute

	// DefaultPeriod is the time within which every VM is maintained once (R24).
	DefaultPeriod = 5 * 7 * 24 * time.Hour

	// DefaultQuantile is the probability that the spare is large enough for the failures within one refill time.
	DefaultQuantile = 0.999

	// scheduleNumerator and scheduleDenominator set the part of the period over which the racks fall due. The rest is
	// left for pauses.
	scheduleNumerator   = 4
	scheduleDenominator = 5

	// progressMark begins the progress of a roll-out in the reason of a row. A move precedes it by its own reason.
	progressMark    = "maintenance "
	reasonSeparator = " "
)
