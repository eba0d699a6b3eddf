package quota

// Change is a new value for the row of one team, to be committed by a conditional write.
type Change struct {
	team    string
	slices  Slices
	version uint64
	grows   bool
}

// Team returns the team.
func (c Change) Team() string { return c.team }

// Slices returns the new value of the row.
func (c Change) Slices() Slices { return c.slices }

// Version returns the row version that the write must be conditional on, 0 if the row must not exist.
func (c Change) Version() uint64 { return c.version }

// Grows reports whether the change raises the sum of the slots. Such a write must also be conditional on the version
// of the configuration that the limit was read from. Otherwise a holder with an old configuration could exceed a limit
// that was lowered.
func (c Change) Grows() bool { return c.grows }
