package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/retry"
)

// Guards against more retries than a tenth of the successes plus 10, and against more than 100 retries saved up during
// successful requests.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b retry.Budget
		successes, retries := 0, 0
		for _, n := range rapid.SliceOf(rapid.IntRange(-150, 1500)).Draw(r, "successes, or retries if negative") {
			for range n {
				b.RecordSuccess()
				successes++
			}
			taken := 0
			for range -n {
				if b.Spend() {
					taken++
				}
			}
			retries += taken
			assert.Assert(r, taken <= 100)
			assert.Assert(r, float64(retries) <= 10+0.1*float64(successes)+1e-6)
		}
	})
}

// Guards against delays outside of 20 ms to 1 s, and against delays without jitter.
func TestBackoffStaysInRange(t *testing.T) {
	b := retry.Backoff{Random: rand.New(rand.NewPCG(1, 1))}
	for retries, ceiling := range []time.Duration{20, 40, 80, 160, 320, 640, 1000, 1000} {
		longest := time.Duration(0)
		for range 1000 {
			d := b.Delay(retries)
			assert.Assert(t, d >= 20*time.Millisecond && d <= ceiling*time.Millisecond)
			longest = max(longest, d)
		}
		assert.Assert(t, longest > ceiling*time.Millisecond*8/10)
	}
}

// Guards against attempts that start at or after the caller's deadline.
func TestAllowedEndsAtDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Assert(t, retry.BeforeDeadline(now, now.Add(1)))
	assert.Assert(t, !retry.BeforeDeadline(now, now))
	assert.Assert(t, retry.BeforeDeadline(now, time.Time{}))
}
