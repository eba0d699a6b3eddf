// Package relay spreads the requests of the leader to backend servers over entry VMs. The leader decides; the other
// entry VMs poll backend servers and send start and stop requests on its behalf, and return the outcomes.
//
// A relay holds no state of the fleet and no permission of its own. Each request carries the leader's fencing token, and
// a start request also the time, by the relay's clock, up to which the leader may start runs: a relay that was suspended
// or is slow doesn't send it later. If a relay is lost, the leader repeats its polls itself, and all other requests have
// an unknown outcome, as if the connection to the backend server had been lost.
package relay
