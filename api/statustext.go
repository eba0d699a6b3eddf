package api

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Status is the status of an entry VM and its view of the fleet.
type Status struct {
	info statusInfo
	text []byte // the response body
}

// JSON returns the response body as it was received.
func (s Status) JSON() []byte { return s.text }

// WriteText writes the status as tables for people to read.
func (s Status) WriteText(out io.Writer) error {
	i := s.info
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "entry VM\t%s in %s\n", i.EntryVM, i.Zone)
	fmt.Fprintf(w, "configuration\t%d, fresh: %t\n", i.Version, i.Fresh)
	fmt.Fprintf(w, "members\t%s\n", strings.Join(i.Members, ", "))
	fmt.Fprintf(w, "backend servers owned\t%d\n", len(i.Owned))
	fmt.Fprintf(w, "queued, running here\t%d, %d\n", i.Queued, i.Running)
	fmt.Fprintf(w, "unfinished jobs\t%d\n", i.Jobs)
	fmt.Fprintln(w, "\nZONE\tSTATE\tBACKEND SERVERS")
	for _, z := range i.Zones {
		fmt.Fprintf(w, "%s\t%s\t%d\n", z.Name, z.State, z.Servers)
	}
	fmt.Fprintln(w, "\nPOOL\tVMS\tABSENT\tBUDGET\tFREE SLOTS HERE")
	for _, p := range i.Pools {
		name := p.Name
		if p.Spare {
			name += " (spare)"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", name, p.VMs, p.Absent, p.Budget, p.Free)
	}
	fmt.Fprintln(w, "\nTEAM\tLIMIT\tRUNNING HERE\tQUEUED HERE")
	for _, t := range i.Teams {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", t.Name, t.Limit, t.Running, t.Queued)
	}
	return w.Flush()
}
