package peer

import "github.com/uber-go/tally/v4"

type clientMetrics struct {
	heartbeats  tally.Counter
	resent      tally.Counter
	forwards    tally.Counter
	misrouted   tally.Counter
	unreachable tally.Counter
	unknown     tally.Counter
}

func newClientMetrics(scope tally.Scope) clientMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("peer-client")
	return clientMetrics{
		heartbeats:  s.Counter("heartbeats"),
		resent:      s.Counter("heartbeats-resent"),
		forwards:    s.Counter("forwards"),
		misrouted:   s.Counter("forwards-crossed"),
		unreachable: s.Counter("unreachable"),
		unknown:     s.Counter("unknown"),
	}
}

type serverMetrics struct {
	heartbeats   tally.Counter
	refused      tally.Counter
	forwards     tally.Counter
	relayed      tally.Counter
	unauthorized tally.Counter
	members      tally.Gauge
}

func newServerMetrics(scope tally.Scope) serverMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("peer-server")
	return serverMetrics{
		heartbeats:   s.Counter("heartbeats"),
		refused:      s.Counter("heartbeats-refused"),
		forwards:     s.Counter("forwards"),
		relayed:      s.Counter("relayed"),
		unauthorized: s.Counter("unauthorized"),
		members:      s.Gauge("members"),
	}
}
