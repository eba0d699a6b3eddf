package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// MembersPrefix is the prefix of the keys of the rows in which entry VMs store where their relays listen. The name of the
// VM follows.
const MembersPrefix = "entry-vms/"

// Member is an entry VM that relays requests.
type Member struct {
	name       string
	address    string
	processors float64
}

type wireMember struct {
	Address    string  `json:"address"`
	Processors float64 `json:"processors"`
}

// NewMember returns an entry VM with the given name, relay address and processor time in cores.
func NewMember(name, address string, processors float64) Member {
	return Member{name: name, address: address, processors: processors}
}

// Name returns the name of the entry VM.
func (m Member) Name() string { return m.name }

// Encode returns the value of the member's row.
func (m Member) Encode() []byte {
	data, err := json.Marshal(wireMember{Address: m.address, Processors: m.processors})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return data
}

// DecodeMember decodes the row of an entry VM.
func DecodeMember(row provider.Row) (Member, error) {
	var w wireMember
	if err := json.Unmarshal(row.Value(), &w); err != nil {
		return Member{}, errors.Wrap(err, "decode the row of an entry VM")
	}
	if w.Address == "" || w.Processors <= 0 {
		return Member{}, errors.Errorf("decode the row of an entry VM: found address %q, processors %g", w.Address, w.Processors)
	}
	return NewMember(row.Key()[len(MembersPrefix):], w.Address, w.Processors), nil
}

// SelectRelays returns the entry VMs that relay requests to so many backend servers for a leader: none if the leader's own
// processor time suffices, else those with the most processor time until together they suffice. The leader relays
// nothing itself, as it has the decisions to make.
func SelectRelays(members []Member, leader string, processors float64, servers int) []Member {
	if float64(servers) <= processors*serversPerProcessor {
		return nil
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if a.processors != b.processors {
			return cmp.Compare(b.processors, a.processors)
		}
		return cmp.Compare(xxhash.Sum64String(leader+a.name), xxhash.Sum64String(leader+b.name))
	})
	var selected []Member
	capacity := 0.0
	for _, m := range ranked {
		if capacity >= float64(servers) {
			break
		}
		if m.name != leader {
			selected = append(selected, m)
			capacity += m.processors * serversPerProcessor
		}
	}
	return selected
}

// Pool is the leader's side: it keeps connections to relays and sends requests through them. The exported fields are set
// before Run.
type Pool struct {
	// Leader is the name of this entry VM, Processors its processor time in cores.
	Leader     string
	Processors float64
	// Clock must also advance while the VM is suspended.
	Clock timer.Clock
	// Post takes the outcomes of requests. It must not block.
	Post func([]fleet.Event)
	// SendDirectly sends a request to its backend server without a relay. It must not block.
	SendDirectly func(fleet.Effect)

	mu       sync.Mutex
	members  []Member
	lostAt   map[string]time.Time // when a relay was lost or couldn't be reached, until there is a session with it
	running  map[string]bool      // relays with a session or an attempt to connect
	selected map[string]bool      // relays that are used, once they are connected
	avoided  map[string]avoidance // by backend server
	sessions []*session
}

// SetMembers sets the entry VMs that may relay requests.
func (p *Pool) SetMembers(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
}

// Resize connects to as many relays as the number of backend servers needs, and disconnects from the others. Sessions run
// in the group.
func (p *Pool) Resize(ctx context.Context, goroutines *group.Group, servers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.selectRelays(servers) {
		if p.running[m.name] {
			continue
		}
		p.running[m.name] = true
		goroutines.Go(func() error {
			lost := p.runSession(ctx, m)
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.running, m.name)
			if lost {
				p.lostAt[m.name] = p.Clock.Now()
			}
			return nil
		})
	}
	for _, s := range p.sessions {
		if !p.selected[s.relay.name] {
			s.closeIfUnused()
		}
	}
}

// selectRelays selects the relays for a number of backend servers among those that aren't lost, and returns them together with
// the lost ones that would be among them and are to be connected to again.
func (p *Pool) selectRelays(servers int) []Member {
	if p.running == nil {
		p.running, p.lostAt = make(map[string]bool), make(map[string]time.Time)
	}
	now := p.Clock.Now()
	present := make([]Member, 0, len(p.members))
	for _, m := range p.members {
		if _, lost := p.lostAt[m.name]; !lost {
			present = append(present, m)
		}
	}
	relays := SelectRelays(present, p.Leader, p.Processors, servers)
	p.selected = make(map[string]bool, len(relays))
	for _, m := range relays {
		p.selected[m.name] = true
	}
	for _, m := range SelectRelays(p.members, p.Leader, p.Processors, servers) {
		if lostAt, lost := p.lostAt[m.name]; lost && now.Sub(lostAt) >= redialDelay {
			relays = append(relays, m)
		}
	}
	return relays
}

// Connections returns the number of relays that the leader is connected to.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// Send sends a request to a backend server through a relay. It reports false if there is no relay, or if the effect isn't
// such a request. The request is sent with the next call of Flush.
func (p *Pool) Send(e fleet.Effect) bool {
	server := targetID(e)
	if server == "" {
		return false
	}
	s := p.route(server)
	return s != nil && s.send(e)
}

// Flush starts to send the queued requests.
func (p *Pool) Flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		s.flush()
	}
}

// route returns the session of the relay for a backend server, or nil if there are no relays. Relays get servers in
// proportion to their processor time, by weighted rendezvous hashing, so that few servers change relays when one is lost. A
// server that didn't respond to a relay gets another one, or the leader itself, for some time.
func (p *Pool) route(server string) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	avoided := ""
	if a, known := p.avoided[server]; known {
		if p.Clock.Now().Before(a.until) {
			avoided = a.relay
		} else {
			delete(p.avoided, server)
		}
	}
	var best *session
	highest := 0.0
	for _, s := range p.sessions {
		if !p.selected[s.relay.name] || s.relay.name == avoided {
			continue
		}
		hash := (float64(xxhash.Sum64String(server+"/"+s.relay.name)>>11) + 0.5) / (1 << 53)
		if score := -s.relay.processors / math.Log(hash); score > highest {
			best, highest = s, score
		}
	}
	return best
}

// avoidance is a relay that isn't used for a backend server for some time.
type avoidance struct {
	relay string
	until time.Time
}

// avoid makes the requests to backend servers take another way than a relay that got no response from them. A relay that is
// slow or cut off from a server would make it look lost although others reach it.
func (p *Pool) avoid(relay string, servers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoided == nil {
		p.avoided = make(map[string]avoidance)
	}
	for _, server := range servers {
		p.avoided[server] = avoidance{relay: relay, until: p.Clock.Now().Add(avoidTime)}
	}
}

func (p *Pool) addSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions = append(p.sessions, s)
	delete(p.lostAt, s.relay.name)
}

func (p *Pool) removeSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions = slices.DeleteFunc(p.sessions, func(other *session) bool { return other == s })
}

// targetID returns the id of the backend server that an effect is a request to, or "".
func targetID(e fleet.Effect) string {
	switch e := e.(type) {
	case fleet.Poll:
		return e.Target.ID
	case fleet.Start:
		return e.Target.ID
	case fleet.Stop:
		return e.Target.ID
	case fleet.Pace:
		return e.Target.ID
	}
	return ""
}
