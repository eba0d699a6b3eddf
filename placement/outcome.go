package placement

// SelectOutcome is the outcome of Chooser.Choose: Chosen, NoRoom or NeverFits.
type SelectOutcome interface{ outcome() }

// Selected is the outcome if a server has enough free capacity for the task.
type Selected struct{ server string }

// Server returns the id of the server.
func (c Selected) Server() string { return c.server }

// NoCapacity is the outcome if no server has enough free capacity for the task now.
type NoCapacity struct{}

// NeverFits is the outcome if the task exceeds the total capacity of every server of the pool.
type NeverFits struct{}

func (Selected) outcome()    {}
func (NoCapacity) outcome()    {}
func (NeverFits) outcome() {}
