package placement

import "github.com/pistachiolead/pistachiolead/provider"

// Server holds the attributes of a backend server that placement depends on.
type Server struct {
	id          string
	zone        string
	rack        string
	pool        string
	shape       provider.Shape
	schedulable bool
}

// NewServer returns a server. Only a schedulable server is selected for tasks; the others still count for NeverFits
// and for the limit of servers out of rotation.
func NewServer(id, zone, rack, pool string, shape provider.Shape, schedulable bool) Server {
	return Server{id: id, zone: zone, rack: rack, pool: pool, shape: shape, schedulable: schedulable}
}

// ID returns the VM id.
func (s Server) ID() string { return s.id }

// Zone returns the name of the availability zone.
func (s Server) Zone() string { return s.zone }

// Rack returns the name of the rack.
func (s Server) Rack() string { return s.rack }

// Pool returns the name of the pool.
func (s Server) Pool() string { return s.pool }

// Shape returns the total capacity.
func (s Server) Shape() provider.Shape { return s.shape }

// Schedulable reports whether the server may be selected for tasks.
func (s Server) Schedulable() bool { return s.schedulable }
