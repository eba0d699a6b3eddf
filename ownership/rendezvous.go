package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// preference is the result of rendezvous hashing for one server, as computed by one entry VM.
type preference struct {
	preferred string
	rank      int // number of members that precede this entry VM; 0 if it is the preferred owner
}

// newPreference ranks members by rendezvous hashing. An entry VM that isn't a member is ranked last.
func newPreference(self, server string, members []string) preference {
	p := preference{preferred: self}
	var best uint64
	own, member := rendezvousScore(self, server), false
	for _, m := range members {
		if m == self {
			member = true
			continue
		}
		s := rendezvousScore(m, server)
		if ranksBefore(s, m, best, p.preferred) || p.preferred == self {
			best, p.preferred = s, m
		}
		if ranksBefore(s, m, own, self) {
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

// ranksBefore reports whether member m with hash a precedes member n with hash b.
func ranksBefore(a uint64, m string, b uint64, n string) bool {
	if a != b {
		return a > b
	}
	return m < n
}

func rendezvousScore(member, server string) uint64 { return xxhash.Sum64String(member + "/" + server) }

// jitter returns a duration in [0, span) that depends only on its arguments.
func jitter(self, server string, span time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(server+"/"+self+"/jitter") % uint64(span))
}
