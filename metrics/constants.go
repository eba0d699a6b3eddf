package metrics

import "time"

const (
	// ContentType is the media type of the output of Registry.WriteText.
	ContentType = "text/plain; version=0.0.4; charset=utf-8"

	namePrefix = "pistachiolead"
	// maxSeries is the number of series that a registry keeps. It bounds the memory of an entry VM (R28) if a label has
	// too many values.
	maxSeries = 10_000
)

// timerBuckets returns the upper bounds of the buckets of timers, in seconds. They include the limits of requirements:
// 0.5 s and 1.9 s (R16), 5 s and 7 s (takeover), 13 s (R27).
func timerBuckets() []float64 {
	bounds := []time.Duration{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
		50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
		1900 * time.Millisecond, 5 * time.Second, 7 * time.Second, 13 * time.Second, 30 * time.Second, time.Minute,
	}
	seconds := make([]float64, 0, len(bounds))
	for _, b := range bounds {
		seconds = append(seconds, b.Seconds())
	}
	return seconds
}
