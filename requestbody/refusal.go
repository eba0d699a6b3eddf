package requestbody

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Cause says why a body wasn't received.
type Cause string

// The causes of refusals.
const (
	TooLarge     Cause = "too-large"
	NoRoom       Cause = "no-room"       // the budget is used up
	NoConnection Cause = "no-connection" // its connection was closed for a new one
	TimedOut     Cause = "timed-out"
	Broken       Cause = "broken" // the client disconnected, or its body isn't well-formed
)

// RetryAfterSeconds is the time after which a client that was refused because of NoRoom may try again. Bodies take less time to
// arrive and to be handled, except those of stalled clients, which are dropped first.
const RetryAfterSeconds = 1

// refusalLogInterval is the shortest time between two log lines about refusals.
const refusalLogInterval = time.Second

// CauseOf returns the cause that an error of Reservation.Read stands for.
func CauseOf(err error) Cause {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrTooLarge):
		return TooLarge
	case errors.Is(err, ErrNoRoom):
		return NoRoom
	case errors.As(err, &timeout) && timeout.Timeout():
		return TimedOut
	}
	return Broken
}

// Refused counts a refusal, and logs the first one in a second.
func (b *Budget) Refused(c Cause, listener string) {
	b.init()
	b.Scope.Tagged(map[string]string{"cause": string(c)}).Counter("refused").Inc(1)
	now := b.Clock.Now()
	b.mu.Lock()
	b.unlogged++
	if b.everLogged && now.Sub(b.logged) < refusalLogInterval {
		b.mu.Unlock()
		return
	}
	refusals, held := b.unlogged, b.held
	b.everLogged, b.logged, b.unlogged = true, now, 0
	b.mu.Unlock()
	klog.InfoS("Request body refused", "cause", string(c), "address", listener, "refusals", refusals, "held-bytes", held,
		"budget-bytes", b.Bytes)
}
