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

// New returns a registry that collects the values of the scope once per interval, and only in Close if the interval is
// 0. The caller must call Close.
func New(interval time.Duration) *Registry {
	r := &reporter{families: make(map[string]*family)}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 namePrefix,
		Separator:              "_",
		CachedReporter:         r,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Registry{scope: scope, closer: closer, reporter: r}
}

// Scope returns the scope in which callers create their metrics. Metric names and tag names may contain any characters;
// all but letters, digits and '_' are exported as '_'.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Close collects the last values and stops the registry. WriteText can still be called.
func (r *Registry) Close() error { return r.closer.Close() }

// WriteText writes all metrics in the Prometheus text format:
//   - counters, with the suffix _total;
//   - gauges;
//   - histograms; timers and histograms of durations are in seconds and have the suffix _seconds.
//
// Only timers have a sum, because tally doesn't keep one for histograms. WriteText returns the first error of w.
func (r *Registry) WriteText(w io.Writer) error {
	return r.reporter.writeText(w)
}
