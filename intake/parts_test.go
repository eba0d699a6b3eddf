package intake_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/intake"
)

// Load pattern: a burst of 125 jobs a second while the store is 60 times slower. A part takes 0.4 s for a transaction
// and refuses those that would wait longer than a second; an answer after the caller's 3 s is too late. Guards against a
// store in which the parts with jobs are full for as long as it is slow: nothing is accepted then, as repeated attempts
// fill them again.
func TestPartsTakeABurstWhileTheStoreIsSlow(t *testing.T) {
	const (
		rate, length = 125, 5 * time.Second
		transaction  = 400 * time.Millisecond
		queue        = time.Second
		repeat       = 250 * time.Millisecond // a mean pause between attempts
		giveUp       = 500 * time.Millisecond // after which a refused caller comes back a second later
	)
	random := rand.New(rand.NewPCG(1, 1))
	free := make(map[int]time.Duration) // when a part has applied all it took
	accepted := 0
	jobs := int(rate * length.Seconds())
	for n := range jobs {
		arrives := time.Duration(n) * length / time.Duration(jobs)
		part := intake.Part(fmt.Sprintf("%016x", random.Uint64()))
		for at := arrives; at < arrives+giveUp; at += repeat {
			start := max(free[part], at)
			if start-at <= queue {
				free[part] = start + transaction
				accepted++
				break
			}
		}
	}
	t.Logf("%d of %d jobs accepted", accepted, jobs)
	assert.Assert(t, accepted*100 >= jobs*95)
}
