package directory

import "time"

// Operation is a request of an operator, read from the operators' table: ConfigurationPublished, ZoneEvacuated,
// ZoneRestored, Wave or WaveCancelled.
type Operation interface{ operation() }

// ConfigurationPublished publishes a configuration.
type ConfigurationPublished struct{ Snapshot *Snapshot }

// ZoneEvacuated takes a zone out of service: no more tasks start on its backend servers.
type ZoneEvacuated struct{ Zone string }

// ZoneRestored returns a zone to service.
type ZoneRestored struct{ Zone string }

// Wave requests the maintenance of a set of VMs.
type Wave struct {
	Name   string // the operators' name, as in the row's key
	Number int64  // the number by which the platform knows the wave
	VMs    []string
	// TimeLimit is the time limit for the whole wave. It starts when a controller first reads the wave.
	TimeLimit time.Duration
	// MaxConcurrent is the largest number of VMs in maintenance at the same time.
	MaxConcurrent int
	Version       uint64 // of the row
}

// WaveCancelled cancels a wave.
type WaveCancelled struct{ Name string }

func (ConfigurationPublished) operation() {}
func (ZoneEvacuated) operation()          {}
func (ZoneRestored) operation()           {}
func (Wave) operation()                   {}
func (WaveCancelled) operation()          {}
