package catalogue

// Team is a group of callers. The teams share the fleet in proportion to their shares.
type Team struct {
	name  string
	share int
	limit int
}

// NewTeam returns a team. The share is its weight in the division of the fleet, from 1 to MaxTeamShare. The limit is
// the largest number of its tasks that may run at the same time across the fleet, from 0 to MaxTeamLimit.
func NewTeam(name string, share, limit int) Team { return Team{name: name, share: share, limit: limit} }

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Share returns the team's weight in the division of the fleet.
func (t Team) Share() int { return t.share }

// Limit returns the largest number of the team's tasks that may run at the same time across the fleet.
func (t Team) Limit() int { return t.limit }
