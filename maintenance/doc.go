// Package maintenance decides the order in which VMs are maintained, what happens to their tasks, which VMs are moved
// between pools, and how many spare VMs a fleet needs. Its decisions are functions of the fleet and the time. Nothing is
// remembered between calls: progress is read from the rows config/vm/<id>, so that any entry VM can go on with a
// roll-out that another one began.
package maintenance
