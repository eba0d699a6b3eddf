package metrics

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"
)

// Registry holds the metrics of a process.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *reporter
}

// New returns a registry whose values follow the scope within interval. An interval of 0 means that they follow only at
// Close. Close must be called.
func New(interval time.Duration) *Registry {
	r := &reporter{families: make(map[string]*family)}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Separator:              "_",
		CachedReporter:         r,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Registry{scope: scope, closer: closer, reporter: r}
}

// Scope returns the scope that metrics are made from. Names and tag names may contain any characters; all but letters,
// digits and '_' are exported as '_'.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Close reports the last values and stops the registry. Its values can still be written.
func (r *Registry) Close() error { return r.closer.Close() }

// WriteText writes all metrics in the Prometheus text format:
//   - counters with the suffix _total;
//   - gauges;
//   - histograms; those of durations and timers in seconds and with the suffix _seconds.
//
// A histogram that isn't a timer has no sum, because tally doesn't keep one.
func (r *Registry) WriteText(w io.Writer) error {
	return r.reporter.writeText(w)
}
