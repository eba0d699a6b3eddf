package fleet

import (
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/workload"
)

// server is what the controller believes of a backend server. It lives on without a registration while runs may exist
// there.
type server struct {
	id          string
	reg         backend.Registration
	registered  bool
	incarnation int64

	confirmed bool // it has seen this term's token
	clock     time.Duration
	clockAt   time.Time // when clock was received
	hasClock  bool
	granted   time.Duration // the latest expiry of its lease that was sent, by its clock
	expiresAt time.Time     // when nothing that was started so far can still run, by this entry VM's clock

	looking  bool
	sequence uint64
	lookSent time.Time
	nextLook time.Time
	missed   int // looks in a row without an answer

	seen      int64 // the last end that was taken in
	noted     int64 // the last end that is stored
	attempts  map[backend.Run]*attempt
	reserved  workload.Resources
	strays    map[backend.Run]time.Time // unknown runs that were told to stop, and when
	failures  int
	restUntil time.Time
	leaving   bool // is about to be maintained or moved, and takes no more work
	due       bool // waits for its maintenance, and takes work that fits nowhere else
	idleSince time.Time
	pacedAt   time.Time // when the pace of a filling task was set last
}

func newServer(id string) *server {
	return &server{id: id, attempts: make(map[backend.Run]*attempt), strays: make(map[backend.Run]time.Time)}
}

func (s *server) target() backend.Target {
	return backend.Target{ID: s.id, Address: s.reg.Address, Incarnation: s.incarnation}
}

// clockNow estimates the server's clock.
func (s *server) clockNow(now time.Time) time.Duration { return s.clock + now.Sub(s.clockAt) }

// granting moves the expiry of what runs on the server to when the granted lease has passed on the slowest clock.
// Leases that an earlier controller granted may last longer.
func (s *server) granting() {
	left := max(s.granted-s.clock, 0)
	expires := s.clockAt.Add(onSlowestClock(left) + leaseSlack)
	if expires.After(s.expiresAt) {
		s.expiresAt = expires
	}
}

// onSlowestClock returns how long a time by a server's clock lasts at most.
func onSlowestClock(d time.Duration) time.Duration { return time.Duration(float64(d) / slowestClock) }

// silent reports whether the server didn't answer the last look, or none yet. What a server that answers runs is known
// from its reports.
func (s *server) silent() bool { return s.missed > 0 || !s.confirmed }

// usable reports whether new runs may be placed on the server.
func (s *server) usable(now time.Time) bool {
	return s.registered && s.confirmed && s.hasClock && s.missed == 0 && !s.reg.Draining && !now.Before(s.restUntil)
}
