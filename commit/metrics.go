package commit

import (
	"github.com/uber-go/tally/v4"

	"github.com/pistachiolead/pistachiolead/provider"
)

type metrics struct {
	attempts    tally.Counter
	committed   tally.Counter
	conflicts   tally.Counter
	rejected    tally.Counter
	unavailable tally.Counter
	unknown     tally.Counter
	refused     tally.Counter
	queued      tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("commit")
	return metrics{
		attempts:    s.Counter("attempts"),
		committed:   s.Counter("committed"),
		conflicts:   s.Counter("conflicts"),
		rejected:    s.Counter("rejected"),
		unavailable: s.Counter("unavailable"),
		unknown:     s.Counter("unknown"),
		refused:     s.Counter("refused"),
		queued:      s.Gauge("queued"),
	}
}

func (m metrics) count(o provider.CommitOutcome) {
	switch o.(type) {
	case provider.Committed:
		m.committed.Inc(1)
	case provider.Conflict:
		m.conflicts.Inc(1)
	case provider.Rejected:
		m.rejected.Inc(1)
	case provider.Unavailable:
		m.unavailable.Inc(1)
	case provider.OutcomeUnknown:
		m.unknown.Inc(1)
	}
}
