package placement

// Outcome is the outcome of Chooser.Choose: Chosen, NoRoom or NeverFits.
type Outcome interface{ outcome() }

// Chosen is the outcome if a server has enough free capacity for the task.
type Chosen struct{ server string }

// Server returns the id of the server.
func (c Chosen) Server() string { return c.server }

// NoRoom is the outcome if no server has enough free capacity for the task now.
type NoRoom struct{}

// NeverFits is the outcome if the task exceeds the total capacity of every server of the pool.
type NeverFits struct{}

func (Chosen) outcome()    {}
func (NoRoom) outcome()    {}
func (NeverFits) outcome() {}
