// Package maintenance plans the maintenance of backend server VMs. Its input is a Fleet (the VMs with their tasks and
// their rows, and the pools with their availability budgets) and the current time. Its output is what to do next:
// rows to write, VMs to reboot, actions for running tasks, moves of VMs between pools, and the number of spare VMs.
//
// All decisions are functions of the fleet and the time, and nothing is stored between calls. The progress is read
// from the rows config/vm/<id>, so any entry VM can continue a roll-out that another one started.
package maintenance
