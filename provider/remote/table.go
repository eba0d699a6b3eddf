package remote

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Table is a client of a platform's table.
type Table struct {
	// Address is host:port of the platform.
	Address string

	client jsonClient
}

var _ provider.Table = (*Table)(nil)

type (
	rowWire struct {
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version uint64 `json:"version"`
		Deleted bool   `json:"deleted,omitempty"`
	}
	conditionWire struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	}
	writeWire struct {
		Key    string `json:"key"`
		Value  []byte `json:"value,omitempty"`
		Delete bool   `json:"delete,omitempty"`
	}
	commitRequest struct {
		Conditions []conditionWire `json:"conditions,omitempty"`
		Writes     []writeWire     `json:"writes,omitempty"`
	}
	// commitResponse has a row if a condition failed, and else the version of the commit.
	commitResponse struct {
		Version uint64   `json:"version,omitempty"`
		Row     *rowWire `json:"row,omitempty"`
	}
	// scanRequest requests a new scan, or the next page of a scan if it has a cursor.
	scanRequest struct {
		Prefix string `json:"prefix"`
		Since  uint64 `json:"since"`
		Cursor uint64 `json:"cursor,omitempty"`
	}
	// scanResponse has a cursor if there are more pages.
	scanResponse struct {
		Rows    []rowWire `json:"rows"`
		Version uint64    `json:"version"`
		Cursor  uint64    `json:"cursor,omitempty"`
	}
)

// Commit implements provider.Table. Keys have to be valid UTF-8.
func (t *Table) Commit(ctx context.Context, x provider.Transaction) provider.CommitOutcome {
	t.client.initialize(t.Address, maxServiceConnections, DefaultTimeout)
	var req commitRequest
	for _, c := range x.Conditions() {
		if !validUTF8(c.Key()) {
			return provider.NewUnavailable(reasonInvalidUTF8)
		}
		req.Conditions = append(req.Conditions, conditionWire{Key: c.Key(), Version: c.Version()})
	}
	for _, w := range x.Writes() {
		if !validUTF8(w.Key()) {
			return provider.NewUnavailable(reasonInvalidUTF8)
		}
		req.Writes = append(req.Writes, writeWire{Key: w.Key(), Value: w.Value(), Delete: w.Delete()})
	}

	var resp commitResponse
	switch r := t.client.call(ctx, DefaultTimeout, "/table/commit", req, &resp); r.state {
	case noEffect:
		return provider.NewUnavailable(r.reason)
	case noReply:
		return provider.NewOutcomeUnknown(r.reason)
	}
	if resp.Row != nil {
		return provider.NewConflict(resp.Row.row())
	}
	return provider.NewCommitted(resp.Version)
}

// Scan implements provider.Table. It fetches a long scan in pages, which are all of one snapshot.
func (t *Table) Scan(ctx context.Context, prefix string, since uint64) provider.ScanOutcome {
	t.client.initialize(t.Address, maxServiceConnections, DefaultTimeout)
	if !validUTF8(prefix) {
		return provider.NewUnavailable(reasonInvalidUTF8)
	}

	var rows []provider.Row
	req := scanRequest{Prefix: prefix, Since: since}
	for {
		var resp scanResponse
		if r := t.client.call(ctx, DefaultTimeout, "/table/scan", req, &resp); r.state != replied {
			return provider.NewUnavailable(r.reason)
		}
		for _, w := range resp.Rows {
			rows = append(rows, w.row())
		}
		if resp.Cursor == 0 {
			return provider.NewRows(rows, resp.Version)
		}
		req.Cursor = resp.Cursor
	}
}

func newRowWire(r provider.Row) rowWire {
	return rowWire{Key: r.Key(), Value: r.Value(), Version: r.Version(), Deleted: r.Deleted()}
}

func (w rowWire) row() provider.Row {
	if w.Deleted {
		return provider.NewDeletedRow(w.Key, w.Version)
	}
	return provider.NewRow(w.Key, w.Value, w.Version)
}

func (s *Server) commit(c *fasthttp.RequestCtx) {
	var req commitRequest
	if !decode(c, &req) {
		return
	}
	conditions := make([]provider.Condition, 0, len(req.Conditions))
	for _, w := range req.Conditions {
		conditions = append(conditions, provider.NewCondition(w.Key, w.Version))
	}
	writes := make([]provider.Write, 0, len(req.Writes))
	for _, w := range req.Writes {
		if w.Delete {
			writes = append(writes, provider.NewDelete(w.Key))
			continue
		}
		writes = append(writes, provider.NewPut(w.Key, w.Value))
	}

	ctx, cancel := s.requestContext(c)
	defer cancel()
	switch o := s.Platform.Table.Commit(ctx, provider.NewTransaction(conditions, writes)).(type) {
	case provider.Committed:
		reply(c, commitResponse{Version: o.Version()})
	case provider.Conflict:
		w := newRowWire(o.Row())
		reply(c, commitResponse{Row: &w})
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

func (s *Server) scan(c *fasthttp.RequestCtx) {
	var req scanRequest
	if !decode(c, &req) {
		return
	}
	if req.Cursor != 0 {
		p, ok := s.cursors.remove(req.Cursor)
		if !ok {
			replyUnavailable(c, "the cursor is unknown or has expired; scan again without one")
			return
		}
		s.replyPage(c, p)
		return
	}

	ctx, cancel := s.requestContext(c)
	defer cancel()
	switch o := s.Platform.Table.Scan(ctx, req.Prefix, req.Since).(type) {
	case provider.Rows:
		s.replyPage(c, o)
	case provider.Unavailable:
		replyUnavailable(c, o.Reason())
	default:
		closeWithoutReply(c)
	}
}

// replyPage replies with as many rows as fit into a page, at least one, and keeps the others under a cursor.
func (s *Server) replyPage(c *fasthttp.RequestCtx, o provider.Rows) {
	resp := scanResponse{Version: o.Version(), Rows: []rowWire{}}
	size := 0
	for i, r := range o.Rows() {
		// Base64 encodes 3 bytes as 4.
		size += rowOverheadBytes + len(r.Key()) + len(r.Value())*4/3
		if i > 0 && size > maxPageBytes {
			resp.Cursor = s.cursors.put(provider.NewRows(o.Rows()[i:], o.Version()))
			break
		}
		resp.Rows = append(resp.Rows, newRowWire(r))
	}
	reply(c, resp)
}
