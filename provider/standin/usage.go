package standin

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// usageHistory holds the samples of resource usage of the last UsageLag.
type usageHistory struct{ samples []usageSample }

type usageSample struct {
	at    time.Time
	shape provider.Shape
}

func (u *usageHistory) record(now time.Time, s provider.Shape) {
	u.samples = append(u.samples, usageSample{at: now, shape: s})
	u.trim(now)
}

// lagging returns the usage at UsageLag before now.
func (u *usageHistory) lagging(now time.Time) provider.Shape {
	u.trim(now)
	if len(u.samples) == 0 || u.samples[0].at.After(now.Add(-UsageLag)) {
		return provider.Shape{}
	}
	return u.samples[0].shape
}

// trim drops the samples that are older than the one that was valid at UsageLag before now.
func (u *usageHistory) trim(now time.Time) {
	for len(u.samples) > 1 && !u.samples[1].at.After(now.Add(-UsageLag)) {
		u.samples = u.samples[1:]
	}
}
