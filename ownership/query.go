package ownership

// Epoch returns the epoch of the lease that this entry VM holds on a server, and false if it holds none. It doesn't
// depend on whether work may still start, because requests that start nothing, such as closing or stopping an
// attempt, need only the epoch.
func (s *State) Epoch(server string) (epoch uint64, ok bool) {
	v := s.servers[server]
	if v == nil || !v.held {
		return 0, false
	}
	return v.epoch, true
}

// Preferred returns the member with the highest rendezvous hash for a key, empty if there are no members.
func Preferred(key string, members []string) string {
	preferred := ""
	var best uint64
	for _, m := range members {
		if sc := rendezvousScore(m, key); preferred == "" || ranksBefore(sc, m, best, preferred) {
			best, preferred = sc, m
		}
	}
	return preferred
}
