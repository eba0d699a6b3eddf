package placement

// SelectOutcome is the outcome of Placer.SelectServer: Selected, NoCapacity or NeverFits.
type SelectOutcome interface{ selectOutcome() }

// Selected is the outcome if a server has enough free capacity for the task.
type Selected struct{ server string }

// Server returns the id of the server.
func (s Selected) Server() string { return s.server }

// NoCapacity is the outcome if no server has enough free capacity for the task now.
type NoCapacity struct{}

// NeverFits is the outcome if the pool has servers and the task exceeds the total capacity of each of them.
type NeverFits struct{}

func (Selected) selectOutcome()   {}
func (NoCapacity) selectOutcome() {}
func (NeverFits) selectOutcome()  {}
