package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// preference is the order in which entry VMs should own a server, as seen from one of them.
type preference struct {
	preferred string
	rank      int // members before this entry VM; 0 if it is the preferred owner
}

// prefer ranks members by rendezvous hashing. An entry VM that isn't a member comes last.
func prefer(self, server string, members []string) preference {
	p := preference{preferred: self}
	var best uint64
	own, member := score(self, server), false
	for _, m := range members {
		if m == self {
			member = true
			continue
		}
		s := score(m, server)
		if before(s, m, best, p.preferred) || p.preferred == self {
			best, p.preferred = s, m
		}
		if before(s, m, own, self) {
			p.rank++
		}
	}
	if !member {
		p.rank = len(members)
	}
	if p.rank == 0 {
		p.preferred = self
	}
	return p
}

func before(a uint64, m string, b uint64, n string) bool {
	if a != b {
		return a > b
	}
	return m < n
}

func score(member, server string) uint64 { return xxhash.Sum64String(member + "/" + server) }

// jitter returns a time below span that depends only on its arguments.
func jitter(self, server string, span time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(server+"/"+self+"/jitter") % uint64(span))
}
