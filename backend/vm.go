package backend

import "github.com/pistachiolead/pistachiolead/workload"

// VMState is the state of a VM.
type VMState string

// States of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving" // to another pool
	VMMaintenance VMState = "maintenance"
	VMDown        VMState = "down" // also any state that isn't known here
)

// VM is a VM of the platform that can run a backend server.
type VM struct {
	Name     string
	Pool     string
	State    VMState
	Zone     string
	Rack     string
	Kind     string // a label of the VM, like Rack, which stays with it over moves and maintenance
	Capacity workload.Resources
	// Server is the id of the backend server on the VM, or "" if none runs there.
	Server string
}
