//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as published.
const (
	maxRowBytes    = 65536
	maxCallBytes   = 1 << 20
	maxCallEntries = 100
	maxPageRows    = 500
	maxPageBytes   = 1 << 20
	transactTime   = 4 * time.Millisecond // in a part, one transaction after another
	readTime       = 2 * time.Millisecond
	feedPollTime   = 5 * time.Millisecond
)

type rowID struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version uint64
}

type change struct {
	id      rowID
	value   []byte
	version uint64
	deleted bool
}

// partition holds the rows of one part of one table, with the keys in ascending order.
type partition struct {
	keys []string
	rows map[string]storedRow
}

// store is a stand-in of the platform's store. It enforces the published limits.
type store struct {
	// refusals counts transactions beyond the published limits, by reason.
	refusals map[string]int
	log      *record

	mu         sync.Mutex
	partitions map[[2]string]*partition
	history    []change
	version    uint64
	writing    map[string]*sync.Mutex // by part
	address    string
	began      time.Time
	dropped    uint64 // the newest version that is dropped from the history
	lose       lostWrites
	calls      callCounts
}

// lostWrites are the transactions that write a row and get no answer. They are done later, if their condition still holds.
type lostWrites struct {
	table, key string
	after      time.Duration
}

// callCounts are the numbers of transactions: all, and those without an answer.
type callCounts struct{ all, lost int }

type wireRow struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte `json:",omitempty"`
	VersionNumber uint64
	Deleted       bool `json:",omitempty"`
}

type wireTransaction struct {
	ExpectedRevision []wireRow
	Puts             []wireRow
	Remove           []wireRow
}

type wirePage struct {
	Rows          []wireRow `json:"rows"`
	HasMore       bool
	VersionNumber uint64
	NowMs         int64
}

func newStore(log *record) *store {
	return &store{
		log: log, partitions: make(map[[2]string]*partition), writing: make(map[string]*sync.Mutex),
		refusals: make(map[string]int), began: time.Now(),
	}
}

func (s *store) listen() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (s *store) part(table, part string) *partition {
	id := [2]string{table, part}
	p := s.partitions[id]
	if p == nil {
		p = &partition{rows: make(map[string]storedRow)}
		s.partitions[id] = p
	}
	return p
}

// write applies one change. The caller holds s.mu and has raised s.version.
func (s *store) write(id rowID, value []byte, deleted bool) {
	p := s.part(id.table, id.part)
	at := sort.SearchStrings(p.keys, id.key)
	known := at < len(p.keys) && p.keys[at] == id.key
	switch {
	case deleted && known:
		p.keys = append(p.keys[:at], p.keys[at+1:]...)
		delete(p.rows, id.key)
	case deleted:
		return
	case !known:
		p.keys = append(p.keys, "")
		copy(p.keys[at+1:], p.keys[at:])
		p.keys[at] = id.key
		fallthrough
	default:
		p.rows[id.key] = storedRow{value: value, version: s.version}
	}
	s.history = append(s.history, change{id: id, value: value, version: s.version, deleted: deleted})
}

// put writes a row of the unnamed part, as operators and workers do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rowID{table, "", key}, data, false)
}

// removeAndDrop removes rows of the unnamed part of a table, and then drops the history, if drop is set, before a feed has
// delivered the removal.
func (s *store) removeAndDrop(table string, keys []string, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.version++
		s.write(rowID{table, "", key}, nil, true)
	}
	if drop {
		s.history, s.dropped = nil, s.version
	}
}

// preload writes rows without a history, in ascending order of their keys.
func (s *store) preload(table, part string, keys []string, value func(key string) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(table, part)
	for _, key := range keys {
		s.version++
		p.rows[key] = storedRow{value: value(key), version: s.version}
	}
	p.keys = append(p.keys, keys...)
	sort.Strings(p.keys)
}

func (s *store) refuse(w http.ResponseWriter, reason string) {
	s.mu.Lock()
	s.refusals[reason]++
	first := s.refusals[reason] == 1
	s.mu.Unlock()
	if first {
		s.log.printf("store: refuses a transaction with 400: %s", reason)
	}
	http.Error(w, reason, http.StatusBadRequest)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var tx wireTransaction
	if err := json.Unmarshal(body, &tx); err != nil {
		s.refuse(w, "the body can't be read")
		return
	}
	entries := append(append(append([]wireRow(nil), tx.ExpectedRevision...), tx.Puts...), tx.Remove...)
	if len(body) > maxCallBytes {
		s.refuse(w, "the call has more than 1 MB")
		return
	}
	if len(entries) > maxCallEntries {
		s.refuse(w, "the call has more than 100 entries")
		return
	}
	for _, e := range entries {
		if e.Part != entries[0].Part {
			s.refuse(w, "the entries are of several parts")
			return
		}
		if len(e.Value) > maxRowBytes {
			s.refuse(w, "a value has more than RowBytes (65536): row "+e.Table+"/"+e.Key+" has "+strconv.Itoa(len(e.Value)))
			return
		}
	}
	if len(entries) == 0 {
		s.refuse(w, "the call has no entries")
		return
	}
	if after := s.loses(&tx); after > 0 {
		time.AfterFunc(after, func() {
			_, applied := s.apply(&tx, entries[0].Part)
			s.log.printf("store: does an unanswered transaction late: row %s/%s, condition met: %v",
				entries[0].Table, entries[0].Key, applied)
		})
		<-r.Context().Done() // the channel delivers nothing further
		return
	}
	page, applied := s.apply(&tx, entries[0].Part)
	if !applied {
		respond(w, http.StatusPreconditionFailed, page)
		return
	}
	respond(w, http.StatusOK, page)
}

// loseWrites leaves the transactions that write a row without an answer, and does them later. An empty table ends that.
func (s *store) loseWrites(table, key string, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lostWrites{table: table, key: key, after: after}
}

// loses counts a transaction, and returns after which time it is done if it gets no answer, else 0.
func (s *store) loses(tx *wireTransaction) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.all++
	for _, p := range tx.Puts {
		if p.Table == s.lose.table && p.Key == s.lose.key {
			s.calls.lost++
			s.log.printf("store: leaves a transaction without an answer: row %s/%s", p.Table, p.Key)
			return s.lose.after
		}
	}
	return 0
}

func (s *store) counts() callCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) apply(tx *wireTransaction, part string) (wirePage, bool) {
	s.mu.Lock()
	turn := s.writing[part]
	if turn == nil {
		turn = &sync.Mutex{}
		s.writing[part] = turn
	}
	s.mu.Unlock()
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(transactTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	page := wirePage{Rows: []wireRow{}, VersionNumber: s.version, NowMs: time.Since(s.began).Milliseconds()}
	failed := false
	for _, c := range tx.ExpectedRevision {
		row, exists := s.part(c.Table, c.Part).rows[c.Key]
		failed = failed || row.version != c.VersionNumber
		if exists {
			page.Rows = append(page.Rows, wireRow{Table: c.Table, Part: c.Part, Key: c.Key, Value: row.value, VersionNumber: row.version})
		}
	}
	if failed {
		return page, false
	}
	s.version++
	for _, p := range tx.Puts {
		s.write(rowID{p.Table, p.Part, p.Key}, p.Value, false)
	}
	for _, d := range tx.Remove {
		s.write(rowID{d.Table, d.Part, d.Key}, nil, true)
	}
	return wirePage{Rows: []wireRow{}, VersionNumber: s.version, NowMs: page.NowMs}, true
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	from, to := q.Get("From"), q.Get("To")
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	p := s.part(q.Get("Table"), q.Get("part"))
	page := wirePage{Rows: []wireRow{}, VersionNumber: s.version, NowMs: time.Since(s.began).Milliseconds()}
	bytes := 0
	for i := sort.SearchStrings(p.keys, from); i < len(p.keys) && (to == "" || p.keys[i] < to); i++ {
		row := p.rows[p.keys[i]]
		if len(page.Rows) >= limit || bytes+len(row.value) > maxPageBytes && len(page.Rows) > 0 {
			page.HasMore = true
			break
		}
		bytes += len(row.value)
		page.Rows = append(page.Rows, wireRow{
			Table: q.Get("Table"), Part: q.Get("part"), Key: p.keys[i], Value: row.value, VersionNumber: row.version,
		})
	}
	s.mu.Unlock()
	respond(w, http.StatusOK, page)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || waitErr != nil {
		http.Error(w, "After and WaitMs are numbers", http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		page, gone := s.changes(q.Get("Table"), after)
		if gone {
			http.Error(w, "the history is no longer available", http.StatusGone)
			return
		}
		if len(page.Rows) > 0 || !time.Now().Before(until) {
			respond(w, http.StatusOK, page)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(feedPollTime):
		}
	}
}

// changes returns the changes of a table after a version, and whether they are no longer available.
func (s *store) changes(table string, after uint64) (page wirePage, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return wirePage{}, true
	}
	page = wirePage{Rows: []wireRow{}, VersionNumber: s.version, NowMs: time.Since(s.began).Milliseconds()}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].version > after })
	for _, c := range s.history[first:] {
		if c.id.table == table {
			page.Rows = append(page.Rows, wireRow{
				Table: table, Part: c.id.part, Key: c.id.key, Value: c.value, VersionNumber: c.version, Deleted: c.deleted,
			})
		}
	}
	return page, false
}

func respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
