package standin

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// usage is a history of measured use, as long as UsageLag.
type usage struct{ samples []usageSample }

type usageSample struct {
	at    time.Time
	shape provider.Shape
}

func (u *usage) record(now time.Time, s provider.Shape) {
	u.samples = append(u.samples, usageSample{at: now, shape: s})
	u.trim(now)
}

// lagging returns the use at UsageLag before now.
func (u *usage) lagging(now time.Time) provider.Shape {
	u.trim(now)
	if len(u.samples) == 0 || u.samples[0].at.After(now.Add(-UsageLag)) {
		return provider.Shape{}
	}
	return u.samples[0].shape
}

// trim drops the samples that are older than the one in force at UsageLag before now.
func (u *usage) trim(now time.Time) {
	for len(u.samples) > 1 && !u.samples[1].at.After(now.Add(-UsageLag)) {
		u.samples = u.samples[1:]
	}
}
