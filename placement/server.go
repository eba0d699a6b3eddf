package placement

import "github.com/pistachiolead/pistachiolead/provider"

// Server is a backend server as the Chooser knows it.
type Server struct {
	id     string
	zone   string
	rack   string
	pool   string
	shape  provider.Shape
	usable bool
}

// NewServer returns a server. Only a usable server is given work; one that isn't still counts for what fits its pool.
func NewServer(id, zone, rack, pool string, shape provider.Shape, usable bool) Server {
	return Server{id: id, zone: zone, rack: rack, pool: pool, shape: shape, usable: usable}
}

// ID returns the VM's id.
func (s Server) ID() string { return s.id }

// Zone returns the availability zone.
func (s Server) Zone() string { return s.zone }

// Rack returns the rack.
func (s Server) Rack() string { return s.rack }

// Pool returns the pool.
func (s Server) Pool() string { return s.pool }

// Shape returns the capacity.
func (s Server) Shape() provider.Shape { return s.shape }

// Usable reports whether the server may be given work.
func (s Server) Usable() bool { return s.usable }
