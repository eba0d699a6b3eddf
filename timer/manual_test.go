package timer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/timer"
)

// Guards against callbacks that run out of order, before they are due, or after Stop.
func TestManualRunsCallbacksInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	m := timer.NewManual(start)
	var calls []string
	every := m.Every(2*time.Second, func(time.Time) { calls = append(calls, "every") })
	m.After(3*time.Second, func(time.Time) { calls = append(calls, "after") })
	m.After(3*time.Second, func(time.Time) { calls = append(calls, "stopped") }).Stop()

	m.Advance(4 * time.Second)
	assert.DeepEqual(t, calls, []string{"every", "after", "every"})
	assert.Equal(t, m.Now(), start.Add(4*time.Second))

	every.Stop()
	m.Advance(time.Minute)
	assert.Equal(t, len(calls), 3)
}
