package intake_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/intake"
)

// Guards against too few partitions for a burst while the store is slow. The partitions would stay full then: retries
// fill them again, and nothing is accepted. Simulates a burst of 125 jobs a second while the store is 60 times
// slower than usual. A partition takes 0.4 s for a transaction and rejects one that would be queued for more than 1 s.
// A response after the caller's deadline of 3 s is too late.
func TestPartitionsAcceptBurstWhileStoreIsSlow(t *testing.T) {
	const (
		rate, length    = 125, 5 * time.Second   // of the burst, in jobs a second
		transactionTime = 400 * time.Millisecond // in one partition
		maxQueueTime    = time.Second            // in one partition
		retryInterval   = 250 * time.Millisecond // mean of the backoff between attempts
		refusalDelay    = 500 * time.Millisecond // then the call is refused; the caller's retry isn't simulated
	)
	random := rand.New(rand.NewPCG(1, 1))
	free := make(map[int]time.Duration) // by partition: when it has applied all accepted transactions
	accepted := 0
	jobs := int(rate * length.Seconds())
	for n := range jobs {
		arrives := time.Duration(n) * length / time.Duration(jobs)
		partition := intake.PartitionOf(fmt.Sprintf("%016x", random.Uint64()))
		for at := arrives; at < arrives+refusalDelay; at += retryInterval {
			start := max(free[partition], at)
			if start-at <= maxQueueTime {
				free[partition] = start + transactionTime
				accepted++
				break
			}
		}
	}
	t.Logf("%d of %d jobs accepted", accepted, jobs)
	assert.Assert(t, accepted*100 >= jobs*95)
}
