package api

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/explanation"
)

// explanationRequest is the JSON body of a request for an explanation: that of a submission, its kind, and the team, by
// default the team of the key.
type explanationRequest struct {
	Kind string `json:"kind"`
	Team string `json:"team,omitempty"`
	workRequest
}

// Values of the field "kind" of an explanationRequest.
const (
	kindCall = "call"
	kindJob  = "job"
)

// explanationInfo is the JSON body of the response with an explanation. Problem is set if the request would be refused,
// ForwardedTo if another entry VM would get it.
type explanationInfo struct {
	EntryVM     string            `json:"entry-vm"`
	Zone        string            `json:"zone"`
	Kind        string            `json:"kind"`
	Entry       string            `json:"entry"`
	Team        string            `json:"team"`
	Pool        string            `json:"pool"`
	Class       string            `json:"class"`
	Accepted    bool              `json:"accepted"`
	Decision    string            `json:"decision"`
	ForwardedTo string            `json:"forwarded-to,omitempty"`
	Problem     *problem          `json:"problem,omitempty"`
	Start       expectedStart     `json:"expected-start"`
	Queue       queuePlace        `json:"queue"`
	TeamUse     teamUse           `json:"team-use"`
	Servers     []serverGroup     `json:"backend-servers"`
	Others      []entryVMCapacity `json:"other-entry-vms"`
	Notes       []string          `json:"notes,omitempty"`
}

// expectedStart is when a request is expected to start. AfterMS is absent if the confidence is "none".
type expectedStart struct {
	AfterMS    *int64 `json:"after-ms,omitempty"`
	Confidence string `json:"confidence"`
	Basis      string `json:"basis"`
}

type queuePlace struct {
	Waiting    int `json:"waiting"`
	Ahead      int `json:"ahead"`
	TeamsAhead int `json:"teams-ahead"`
}

type teamUse struct {
	Running    int     `json:"running-here"`
	Elsewhere  int     `json:"running-elsewhere"`
	Startable  int     `json:"startable-here"`
	Limit      int     `json:"limit"`
	Queued     int     `json:"queued-here"`
	QueueBound int     `json:"queue-bound"`
	Weight     float64 `json:"weight"`
	Share      float64 `json:"dominant-share"`
}

// serverGroup is the backend servers with the same reason not to start the task. Kind and Reason are empty for those
// that may start it.
type serverGroup struct {
	MayStart bool     `json:"may-start"`
	Kind     string   `json:"kind,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Count    int      `json:"count"`
	Examples []string `json:"examples"`
}

type entryVMCapacity struct {
	ID        string `json:"id"`
	FreeSlots int    `json:"free-slots"`
	AgeMS     int64  `json:"age-ms"`
}

func (s *Server) explain(c *fasthttp.RequestCtx) {
	r, ok := s.readExplanation(c)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c, changeTimeout)
	defer cancel()
	e, ok := s.VM.Explain(ctx, r).(dispatch.Explanation)
	if !ok {
		writeProblem(c, problem{
			Code: dispatch.CodeLostContact, Message: "the entry VM didn't return the explanation before the timeout",
			Outcome: outcomeNotRun,
		})
		return
	}
	writeJSON(c, http.StatusOK, explanationInfoOf(e))
}

// readExplanation reads and authorizes a request for an explanation and returns the request to explain. If it isn't
// valid, it writes the error response and returns false.
func (s *Server) readExplanation(c *fasthttp.RequestCtx) (dispatch.Request, bool) {
	var body explanationRequest
	if err := s.decode(c, &body); err != nil {
		writeInvalid(c, err.Error())
		return dispatch.Request{}, false
	}
	kind := map[string]dispatch.Kind{kindCall: dispatch.KindCall, kindJob: dispatch.KindJob}[body.Kind]
	if kind == 0 {
		writeInvalid(c, fmt.Sprintf(`the field "kind" is %q; allowed are %s and %s`, body.Kind, kindCall, kindJob))
		return dispatch.Request{}, false
	}
	if message := body.check(); message != "" {
		writeInvalid(c, message)
		return dispatch.Request{}, false
	}
	now := s.VM.Now()
	who, ok := s.callerOfTeam(c, body.Team, now)
	if !ok {
		return dispatch.Request{}, false
	}
	entry, ok := s.VM.Configuration().Catalogue().Entry(body.Entry)
	if !ok {
		writeProblem(c, problem{
			Code: string(catalogue.CodeUnknownEntry), Outcome: outcomeNotRun,
			Message: fmt.Sprintf(`the field "entry" is %q; allowed are %s`, body.Entry, s.entriesOf(who.team)),
		})
		return dispatch.Request{}, false
	}
	r, p := body.request(kind, entry, who, now)
	if p != nil {
		writeProblem(c, *p)
		return dispatch.Request{}, false
	}
	return r, true
}

// callerOfTeam returns the caller whose requests are explained: the holder of the key, or another team if the key is
// that of an administrator. If neither is valid, it writes the error response and returns false.
func (s *Server) callerOfTeam(c *fasthttp.RequestCtx, team string, now time.Time) (caller, bool) {
	secret := string(c.Request.Header.Peek(KeyHeader))
	config := s.VM.Configuration()
	authorization := catalogue.Authenticate(config, secret, now)
	if a, ok := authorization.(catalogue.Allowed); ok && team != "" && team != a.Key().Team() {
		authorization = catalogue.AuthorizeAdmin(config, secret, now)
	}
	a, ok := authorization.(catalogue.Allowed)
	if !ok {
		writeDenied(c, authorization.(catalogue.Denied))
		return caller{}, false
	}
	if team == "" {
		team = a.Key().Team()
	}
	if _, ok := config.Catalogue().Team(team); !ok {
		allowed := "teams of the catalogue"
		if a.Key().Role() == catalogue.RoleAdmin {
			allowed = teamNames(config.Catalogue())
		}
		writeInvalid(c, fmt.Sprintf(`the field "team" is %q; allowed are %s`, team, allowed))
		return caller{}, false
	}
	return caller{team: team, key: a.Key()}, true
}

// entriesOf returns the names of the catalogue entries that a team may use, or "none".
func (s *Server) entriesOf(team string) string {
	var names []string
	for _, e := range s.VM.Configuration().Catalogue().Entries() {
		if e.Admits(team) {
			names = append(names, e.Name())
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func teamNames(c *catalogue.Catalogue) string {
	var names []string
	for _, t := range c.Teams() {
		names = append(names, t.Name())
	}
	return strings.Join(names, ", ")
}

func explanationInfoOf(e dispatch.Explanation) explanationInfo {
	r, p, t := e.Request(), e.Position(), e.Team()
	info := explanationInfo{
		EntryVM: e.EntryVM(), Zone: e.Zone(), Kind: kindCall, Entry: r.Entry(), Team: r.Team(), Pool: e.Pool(), Class: e.Class(),
		Accepted: e.Decision() != dispatch.DecisionRefuse, Decision: string(e.Decision()), ForwardedTo: e.Peer(),
		Start: expectedStart{Confidence: string(e.Start().Confidence()), Basis: e.Start().Basis()},
		Queue: queuePlace{Waiting: p.Waiting(), Ahead: p.Ahead(), TeamsAhead: p.TeamsAhead()},
		TeamUse: teamUse{
			Running: t.Running(), Elsewhere: t.RunningElsewhere(), Startable: t.AllowedStarts(), Limit: t.Limit(), Queued: t.Queued(), QueueBound: t.QueueBound(),
			Weight: t.Weight(), Share: t.Share(),
		},
		Servers: []serverGroup{}, Others: []entryVMCapacity{},
	}
	if r.Kind() == dispatch.KindJob {
		info.Kind = kindJob
	}
	if !info.Accepted {
		p := problemOf("", e.Refusal())
		info.Problem = &p
	}
	if e.Start().Confidence() != explanation.ConfidenceNone {
		ms := e.Start().After().Milliseconds()
		info.Start.AfterMS = &ms
	}
	for _, g := range e.Servers() {
		info.Servers = append(info.Servers, serverGroup{
			MayStart: g.MayStart(), Kind: dispatch.Exclusion(g.Reason()).Kind(), Reason: g.Reason(),
			Count: len(g.Servers()), Examples: g.Examples(maxExamples),
		})
	}
	for _, o := range e.Peers() {
		info.Others = append(info.Others, entryVMCapacity{ID: o.ID(), FreeSlots: o.FreeSlots(), AgeMS: o.Age().Milliseconds()})
	}
	if r.CallerChoseID() {
		info.Notes = append(info.Notes, "stored records of an earlier request with this id aren't read")
	}
	return info
}
