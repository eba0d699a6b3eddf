package placement

// Outcome is the outcome of Chooser.Choose: Chosen, NoRoom or NeverFits.
type Outcome interface{ outcome() }

// Chosen says that the server has room for the work.
type Chosen struct{ server string }

// Server returns the id of the server.
func (c Chosen) Server() string { return c.server }

// NoRoom says that no server of the pool has room now.
type NoRoom struct{}

// NeverFits says that the pool has servers, and none could run the work even if it were idle.
type NeverFits struct{}

func (Chosen) outcome()    {}
func (NoRoom) outcome()    {}
func (NeverFits) outcome() {}
