package quota

// Change is a new value for one team's row.
type Change struct {
	team    string
	slices  Slices
	version uint64
	grows   bool
}

// Team returns the team.
func (c Change) Team() string { return c.team }

// Slices returns the new value.
func (c Change) Slices() Slices { return c.slices }

// Version returns the row version that the write must be conditional on, 0 if the row must not exist.
func (c Change) Version() uint64 { return c.version }

// Grows reports whether the change raises the sum. Such a write must also be conditional on the version of the
// configuration that the limit came from; otherwise a holder with an old configuration could exceed a lowered limit.
func (c Change) Grows() bool { return c.grows }
