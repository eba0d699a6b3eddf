package backend

import "github.com/pistachiolead/pistachiolead/workload"

// VMState is the state of a VM.
type VMState string

// States of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "maintenance"
	VMDown        VMState = "down"
)

// VM is a VM that runs a backend server.
type VM struct {
	Name     string
	Pool     string
	State    VMState
	Zone     string
	Rack     string
	Capacity workload.Resources
	// Server is the id of the VM's backend server, or "".
	Server string
}
