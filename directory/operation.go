package directory

import "time"

// Operation is what an operator asks for: Configured, ZoneOut, ZoneBack, Wave or WaveDropped.
type Operation interface{ operation() }

// Configured is a new configuration.
type Configured struct{ Snapshot *Snapshot }

// ZoneOut takes a zone out of service.
type ZoneOut struct{ Zone string }

// ZoneBack returns a zone to service.
type ZoneBack struct{ Zone string }

// Wave asks for upkeep of VMs, at most AtOnce at the same time, until Within after it was seen first.
type Wave struct {
	Name    string
	Number  int64
	VMs     []string
	Within  time.Duration
	AtOnce  int
	Version uint64
}

// WaveDropped takes back a wave.
type WaveDropped struct{ Name string }

func (Configured) operation()  {}
func (ZoneOut) operation()     {}
func (ZoneBack) operation()    {}
func (Wave) operation()        {}
func (WaveDropped) operation() {}
