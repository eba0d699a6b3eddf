package api

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
)

// changeState is the JSON body of the response to a configuration change or to a query about one.
type changeState struct {
	Version    uint64   `json:"version,omitempty"`
	State      string   `json:"state"`
	Stored     bool     `json:"stored"`
	Awaited    []string `json:"awaited,omitempty"`
	LatestMS   int64    `json:"in-force-within-ms,omitempty"`
	Key        *keyInfo `json:"key,omitempty"`
	Secret     string   `json:"secret,omitempty"`
	Difference []string `json:"difference,omitempty"`
}

// Values of the field "state" of changes, zones and VMs.
const (
	stateInForce = "in-force"
	statePending = "pending"
	stateDryRun  = "dry-run"
	stateOut     = "out"
	stateIn      = "in"
)

// catalogueBody is the JSON body of a request that replaces the catalogue.
type catalogueBody struct {
	BaseVersion uint64 `json:"base-version"`
	Document    string `json:"document"`
	DryRun      bool   `json:"dry-run,omitempty"`
}

// catalogueInfo is the JSON body of the response with the catalogue and its last change.
type catalogueInfo struct {
	Version  uint64 `json:"version"`
	By       string `json:"by"`
	When     string `json:"when"`
	What     string `json:"what"`
	Document string `json:"document"`
}

// keyBody is the JSON body of a request for a new key.
type keyBody struct {
	Team      string `json:"team"`
	Role      string `json:"role"`
	ExpiresMS int64  `json:"expires-in-ms,omitempty"`
}

// keyInfo is the JSON form of a key without its secret. Times are in RFC 3339.
type keyInfo struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Role      string `json:"role"`
	Granted   string `json:"granted"`
	GrantedBy string `json:"granted-by"`
	Expires   string `json:"expires,omitempty"`
	Revoked   bool   `json:"revoked"`
}

// zoneBody is the JSON body of a request that takes an availability zone out of service or restores it.
type zoneBody struct {
	State string `json:"state"`
	Force bool   `json:"force,omitempty"`
}

// vmBody is the JSON body of a request that changes the state or the pool of a VM.
type vmBody struct {
	State  string `json:"state,omitempty"`
	Pool   string `json:"pool,omitempty"`
	Reason string `json:"reason,omitempty"`
	Force  bool   `json:"force,omitempty"`
}

// authorizeAdmin checks that the request has the key of an administrator, and returns the author that its changes are
// recorded with. If the check fails, it writes the error response and returns false.
func (s *Server) authorizeAdmin(c *fasthttp.RequestCtx) (string, bool) {
	secret := string(c.Request.Header.Peek(KeyHeader))
	switch a := catalogue.AuthorizeAdmin(s.VM.Configuration(), secret, s.VM.Now()).(type) {
	case catalogue.Allowed:
		return author(a.Key()), true
	case catalogue.Denied:
		writeDenied(c, a)
	}
	return "", false
}

// author returns how a key is named as the author of a change.
func author(k catalogue.Key) string {
	if k.Team() == "" {
		return "key " + k.ID()
	}
	return fmt.Sprintf("key %s of %s", k.ID(), k.Team())
}

func (s *Server) getCatalogue(c *fasthttp.RequestCtx) {
	secret := string(c.Request.Header.Peek(KeyHeader))
	if d, ok := catalogue.Authenticate(s.VM.Configuration(), secret, s.VM.Now()).(catalogue.Denied); ok {
		writeDenied(c, d)
		return
	}
	config := s.VM.Configuration()
	r := config.LatestRevision()
	writeJSON(c, http.StatusOK, catalogueInfo{
		Version: config.Version(), By: r.Author(), When: formatTime(r.ChangedAt()), What: r.Description(),
		Document: string(config.Catalogue().YAML()),
	})
}

func (s *Server) putCatalogue(c *fasthttp.RequestCtx) {
	var body catalogueBody
	if err := s.decode(c, &body); err != nil {
		writeInvalid(c, err.Error())
		return
	}
	next, err := catalogue.Parse([]byte(body.Document), "catalogue")
	if err != nil {
		writeInvalid(c, err.Error())
		return
	}
	secret := string(c.Request.Header.Peek(KeyHeader))
	config := s.VM.Configuration()
	switch a := catalogue.AuthorizeCatalogue(config, secret, next, s.VM.Now()).(type) {
	case catalogue.Denied:
		writeDenied(c, a)
	case catalogue.Allowed:
		st := changeState{Version: config.Version(), State: stateDryRun, Difference: diffLines(config.Catalogue(), next)}
		if body.DryRun {
			writeJSON(c, http.StatusOK, st)
			return
		}
		s.change(c, dispatch.NewCatalogueChange(next, body.BaseVersion), author(a.Key()), st)
	}
}

// diffLines returns the differences between two catalogues, one a line.
func diffLines(a, b *catalogue.Catalogue) []string {
	var lines []string
	for _, d := range catalogue.Diff(a, b) {
		lines = append(lines, d.String())
	}
	return lines
}

func (s *Server) listKeys(c *fasthttp.RequestCtx) {
	if _, ok := s.authorizeAdmin(c); !ok {
		return
	}
	keys := []keyInfo{}
	for _, k := range s.VM.Configuration().Keys() {
		keys = append(keys, keyInfoOf(k))
	}
	writeJSON(c, http.StatusOK, struct {
		Keys []keyInfo `json:"keys"`
	}{keys})
}

func keyInfoOf(k catalogue.Key) keyInfo {
	return keyInfo{
		ID: k.ID(), Team: k.Team(), Role: k.Role().String(), Granted: formatTime(k.Granted()), GrantedBy: k.GrantedBy(),
		Expires: formatTime(k.Expires()), Revoked: k.Revoked(),
	}
}

// formatTime returns a time in RFC 3339, empty for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func (s *Server) grantKey(c *fasthttp.RequestCtx) {
	by, ok := s.authorizeAdmin(c)
	if !ok {
		return
	}
	var body keyBody
	if err := s.decode(c, &body); err != nil {
		writeInvalid(c, err.Error())
		return
	}
	role, err := catalogue.ParseRole(body.Role)
	if err != nil {
		writeInvalid(c, err.Error())
		return
	}
	if body.ExpiresMS < 0 || body.ExpiresMS > maxKeyLifetime.Milliseconds() {
		writeInvalid(c, fmt.Sprintf(`the field "expires-in-ms" is %d; allowed are 0 to %d`,
			body.ExpiresMS, maxKeyLifetime.Milliseconds()))
		return
	}
	expires := time.Time{}
	if body.ExpiresMS > 0 {
		expires = s.VM.Now().Add(time.Duration(body.ExpiresMS) * time.Millisecond)
	}
	key, secret, err := catalogue.NewKey(body.Team, role, by, s.VM.Now(), expires, s.Random)
	if err != nil {
		writeInvalid(c, err.Error())
		return
	}
	info := keyInfoOf(key)
	s.change(c, dispatch.NewKeyGrant(key), by, changeState{Key: &info, Secret: secret})
}

func (s *Server) revokeKey(c *fasthttp.RequestCtx) {
	by, ok := s.authorizeAdmin(c)
	if !ok {
		return
	}
	id, _ := c.UserValue("id").(string)
	if _, known := s.VM.Configuration().Key(id); !known {
		writeProblem(c, problem{
			Code: codeNotFound, Message: fmt.Sprintf("no key has the id %q", id), Outcome: outcomeNotRun,
		})
		return
	}
	s.change(c, dispatch.NewKeyRevocation(id), by, changeState{})
}

func (s *Server) putZone(c *fasthttp.RequestCtx) {
	by, ok := s.authorizeAdmin(c)
	if !ok {
		return
	}
	var body zoneBody
	if err := s.decode(c, &body); err != nil {
		writeInvalid(c, err.Error())
		return
	}
	out, ok := parseServiceState(body.State)
	if !ok || body.State == "" {
		writeInvalid(c, fmt.Sprintf(`the field "state" is %q; allowed are "out" and "in"`, body.State))
		return
	}
	name, _ := c.UserValue("name").(string)
	s.change(c, dispatch.NewZoneChange(name, out, body.Force), by, changeState{})
}

func (s *Server) putVM(c *fasthttp.RequestCtx) {
	by, ok := s.authorizeAdmin(c)
	if !ok {
		return
	}
	var body vmBody
	if err := s.decode(c, &body); err != nil {
		writeInvalid(c, err.Error())
		return
	}
	id, _ := c.UserValue("id").(string)
	out, ok := parseServiceState(body.State)
	if !ok || (body.State == "" && body.Pool == "") {
		writeInvalid(c, fmt.Sprintf(
			`the field "state" is %q; allowed are "out" and "in", and it may be omitted if "pool" is given`, body.State))
		return
	}
	if body.State == "" {
		out = s.VM.Configuration().VM(id).OutOfService()
	}
	s.change(c, dispatch.NewVMChange(id, out, body.Pool, body.Reason, body.Force), by, changeState{})
}

// parseServiceState parses the field "state" of a zone or VM. An empty state counts as in service.
func parseServiceState(state string) (out, ok bool) {
	switch state {
	case stateOut:
		return true, true
	case stateIn, "":
		return false, true
	default:
		return false, false
	}
}

// change makes a configuration change and writes its state as the response. The fields of st that the state of the
// change doesn't determine are kept.
func (s *Server) change(c *fasthttp.RequestCtx, ch dispatch.Change, by string, st changeState) {
	ctx, cancel := context.WithTimeout(c, changeTimeout)
	defer cancel()
	s.writeChange(c, s.VM.Change(ctx, ch, by), st)
}

// writeChange writes the response for the outcome of a change: 200 if it is in force, 202 if it is pending.
func (s *Server) writeChange(c *fasthttp.RequestCtx, o dispatch.Outcome, st changeState) {
	ch, ok := o.(dispatch.ChangeStatus)
	if !ok {
		writeProblem(c, problemOf("", o))
		return
	}
	st.Version, st.Stored, st.Awaited, st.State = ch.Version(), ch.Stored(), ch.Awaited(), statePending
	status := http.StatusAccepted
	if ch.InForce() {
		st.State, status = stateInForce, http.StatusOK
	} else if !ch.Latest().IsZero() {
		st.LatestMS = milliseconds(max(ch.Latest().Sub(s.VM.Now()), 0))
	}
	writeJSON(c, status, st)
}

func (s *Server) getChange(c *fasthttp.RequestCtx) {
	if _, ok := s.authorizeAdmin(c); !ok {
		return
	}
	text, _ := c.UserValue("version").(string)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeInvalid(c, fmt.Sprintf("the configuration version is %q; allowed is a non-negative integer", text))
		return
	}
	ctx, cancel := context.WithTimeout(c, changeTimeout)
	defer cancel()
	s.writeChange(c, s.VM.ChangeStatus(ctx, version), changeState{})
}
