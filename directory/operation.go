package directory

import "time"

// Operation is a request of an operator, read from the operators' table: Configured, ZoneOut, ZoneBack, Wave or
// WaveDropped.
type Operation interface{ operation() }

// Configured publishes a configuration.
type Configured struct{ Snapshot *Snapshot }

// ZoneOut takes a zone out of service: no more tasks start on its backend servers.
type ZoneOut struct{ Zone string }

// ZoneBack returns a zone to service.
type ZoneBack struct{ Zone string }

// Wave requests the maintenance of a set of VMs.
type Wave struct {
	Name   string // the operators' name, as in the row's key
	Number int64  // the number by which the platform knows the wave
	VMs    []string
	// Within is the time limit for the whole wave. It starts when a controller first reads the wave.
	Within time.Duration
	// AtOnce is the largest number of VMs in maintenance at the same time.
	AtOnce  int
	Version uint64 // of the row
}

// WaveDropped cancels a wave.
type WaveDropped struct{ Name string }

func (Configured) operation()  {}
func (ZoneOut) operation()     {}
func (ZoneBack) operation()    {}
func (Wave) operation()        {}
func (WaveDropped) operation() {}
