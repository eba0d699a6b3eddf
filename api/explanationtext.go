package api

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Explanation says what would become of a request, and why.
type Explanation struct {
	info explanationInfo
	text []byte // the response body
}

// JSON returns the response body as it was received.
func (e Explanation) JSON() []byte { return e.text }

// Accepted reports whether the request would be accepted.
func (e Explanation) Accepted() bool { return e.info.Accepted }

// WriteText writes the explanation as tables for people to read.
func (e Explanation) WriteText(out io.Writer) error {
	i := e.info
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "request\t%s %s of team %s\n", i.Kind, i.Entry, i.Team)
	fmt.Fprintf(w, "asked\t%s in %s\n", i.EntryVM, i.Zone)
	fmt.Fprintf(w, "decision\t%s\n", i.decisionText())
	fmt.Fprintf(w, "expected start\t%s\n", i.Start.text())
	fmt.Fprintf(w, "queue\tpool %s, class %s: %d waiting, %d ahead, %d teams ahead\n",
		i.Pool, i.Class, i.Queue.Waiting, i.Queue.Ahead, i.Queue.TeamsAhead)
	t := i.TeamUse
	fmt.Fprintf(w, "team\t%d running here, %d elsewhere, limit %d; %d more may start here; %d of at most %d queued here; weight %g, share %.3f\n",
		t.Running, t.Elsewhere, t.Limit, t.Startable, t.Queued, t.QueueBound, t.Weight, t.Share)
	for _, n := range i.Notes {
		fmt.Fprintf(w, "note\t%s\n", n)
	}
	fmt.Fprintln(w, "\nBACKEND SERVERS\tKIND\tREASON\tEXAMPLES")
	for _, g := range i.Servers {
		reason := g.Reason
		if g.MayStart {
			reason = "may start it"
		}
		examples := strings.Join(g.Examples, ", ")
		if g.Count > len(g.Examples) {
			examples += ", ..."
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", g.Count, orDash(g.Kind), reason, examples)
	}
	fmt.Fprintln(w, "\nOTHER ENTRY VM\tFREE SLOTS\tTOLD")
	for _, o := range i.Others {
		fmt.Fprintf(w, "%s\t%d\t%s ago\n", o.ID, o.FreeSlots, durationOf(o.AgeMS))
	}
	return w.Flush()
}

func (i explanationInfo) decisionText() string {
	switch {
	case i.Problem != nil:
		text := fmt.Sprintf("refused: %s: %s", i.Problem.Code, i.Problem.Message)
		if i.Problem.RetryAfterMS > 0 {
			text += fmt.Sprintf(", retry after %s", durationOf(i.Problem.RetryAfterMS))
		}
		return text
	case i.ForwardedTo != "":
		return "accepted: goes to " + i.ForwardedTo + "; its address tells more"
	default:
		return "accepted: " + map[string]string{
			"start": "starts at once", "queue": "waits in the queue", "preempt": "preempts less urgent work",
			"await-owner": "waits for an owner of backend servers of the pool",
		}[i.Decision]
	}
}

func (s expectedStart) text() string {
	switch {
	case s.AfterMS == nil:
		return "unknown: " + s.Basis
	case *s.AfterMS == 0:
		return fmt.Sprintf("now, confidence %s: %s", s.Confidence, s.Basis)
	default:
		return fmt.Sprintf("in %s, confidence %s: %s", durationOf(*s.AfterMS), s.Confidence, s.Basis)
	}
}

func durationOf(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
