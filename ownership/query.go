package ownership

// Epoch returns the epoch of the lease of a server that this entry VM holds, whether or not work may still start under
// it. Requests that start nothing, such as closing or stopping an attempt, need no more than that.
func (s *State) Epoch(server string) (epoch uint64, ok bool) {
	v := s.servers[server]
	if v == nil || !v.held {
		return 0, false
	}
	return v.epoch, true
}

// Preferred returns the member that rendezvous hashing prefers for a key, empty if there are no members.
func Preferred(key string, members []string) string {
	preferred := ""
	var best uint64
	for _, m := range members {
		if sc := score(m, key); preferred == "" || before(sc, m, best, preferred) {
			best, preferred = sc, m
		}
	}
	return preferred
}
