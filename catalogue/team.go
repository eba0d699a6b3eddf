package catalogue

// Team is a group of callers that shares the fleet with other teams.
type Team struct {
	name  string
	share int
	limit int
}

// NewTeam returns a team. The share is its weight, 1 to MaxShare; the limit is its largest number of running tasks
// across the fleet.
func NewTeam(name string, share, limit int) Team { return Team{name: name, share: share, limit: limit} }

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Share returns the team's weight.
func (t Team) Share() int { return t.share }

// Limit returns the largest number of tasks that the team may have running across the fleet.
func (t Team) Limit() int { return t.limit }
