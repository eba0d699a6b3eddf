package queue

import "time"

// Position is the place that a request would get in the queue of its pool.
type Position struct {
	ahead      int
	teamsAhead int
	waiting    int
	start      time.Duration
	rateKnown  bool
}

// Position returns the place that a request gets if it is added now.
func (q *Queue) Position(r Request, now time.Time) Position {
	p, ok := q.pools[r.pool]
	if !ok {
		return Position{}
	}
	rate := p.rate
	rate.advance(now, p.waiting > 0)
	ahead := q.requestsAhead(p, r)
	return Position{
		ahead: ahead, teamsAhead: q.teamsAhead(p, r), waiting: p.waiting,
		start: rate.expectedWait(ahead + 1), rateKnown: rate.known(),
	}
}

// teamsAhead returns how many other teams with waiting requests of r's class are ranked before r's team.
func (q *Queue) teamsAhead(p *pool, r Request) int {
	own := q.Shares.rank(r.team)
	teams := make(map[string]bool)
	for k := range p.subqueues {
		if k.class == r.class && k.team != r.team && q.Shares.rank(k.team) < own {
			teams[k.team] = true
		}
	}
	return len(teams)
}

// Ahead returns how many waiting requests are expected to start first.
func (p Position) Ahead() int { return p.ahead }

// TeamsAhead returns how many other teams are ranked before the team of the request.
func (p Position) TeamsAhead() int { return p.teamsAhead }

// Waiting returns the number of waiting requests of the pool, of all classes.
func (p Position) Waiting() int { return p.waiting }

// Start returns the expected time until the request starts if no server is free now. It is 0 unless RateKnown.
func (p Position) Start() time.Duration { return p.start }

// RateKnown reports whether the start rate of the pool is known.
func (p Position) RateKnown() bool { return p.rateKnown }
