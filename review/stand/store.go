package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Figures of the platform's store on the site madafi-ops.
const (
	storeAnswer  = 4 * time.Millisecond
	storeTx      = 5 * time.Millisecond
	maxRowBytes  = 65536
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	maxPage      = 500
	writesPerS   = 800
	readsPerS    = 2000
)

type rowRef struct{ table, part, key string }

type storedRow struct {
	ref   rowRef
	value []byte
	ver   uint64
	gone  bool
}

// store is a stand-in for the platform's store of rows. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowRef]*storedRow
	history []storedRow
	ver     uint64
	changed chan struct{}
	down    chan struct{} // closed at the end of an outage; nil while the store answers
	parts   map[string]*sync.Mutex
	calls   [2]int // of the current second: writes, reads
	second  int64
	refused func(reason string) // called for each transaction that the store refuses for its size
}

func newStore() *store {
	return &store{rows: make(map[rowRef]*storedRow), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex)}
}

// setDown begins or ends an outage, in which no call is answered and none is done.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down && s.down == nil:
		s.down = make(chan struct{})
	case !down && s.down != nil:
		close(s.down)
		s.down = nil
	}
}

// awaitUp blocks during an outage; it then breaks the connection of the call, which is not done.
func (s *store) awaitUp(r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down == nil {
		return
	}
	select {
	case <-down:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

type rowJSON struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Removed bool    `json:"removed,omitempty"`
}

func (r rowJSON) ref() rowRef { return rowRef{r.Table, r.Part, r.Key} }

func (r *storedRow) json() rowJSON {
	v := r.ver
	return rowJSON{Table: r.ref.table, Part: r.ref.part, Key: r.ref.key, Value: r.value, Ver: &v, Removed: r.gone}
}

func answer(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

type object = map[string]any

// reply answers a call whose rows are as of the given version.
func (s *store) reply(w http.ResponseWriter, status int, ver uint64, fields object) {
	fields["ver"] = ver
	fields["nowMs"] = time.Since(begun).Milliseconds()
	answer(w, status, fields)
}

// put writes a row as the operator does.
func (s *store) put(ref rowRef, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(&storedRow{ref: ref, value: value, ver: s.ver})
	s.wake()
}

func (s *store) set(r *storedRow) {
	if r.gone {
		delete(s.rows, r.ref)
	} else {
		s.rows[r.ref] = r
	}
	s.history = append(s.history, *r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// isOverRate counts a call and refuses it if the calls of this second exceed the rate of the platform.
func (s *store) isOverRate(w http.ResponseWriter, kind, limit int) bool {
	s.mu.Lock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.calls = now, [2]int{}
	}
	s.calls[kind]++
	over := s.calls[kind] > limit
	s.mu.Unlock()
	if over {
		answer(w, http.StatusTooManyRequests, object{})
	}
	return over
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return mux
}

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.parts[name]
	if m == nil {
		m = &sync.Mutex{}
		s.parts[name] = m
	}
	return m
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	s.awaitUp(r)
	if s.isOverRate(w, 0, writesPerS) {
		return
	}
	var in struct{ Expected, Writes, Remove []rowJSON }
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxBytes)).Decode(&in); err != nil {
		s.refuse(w, "the call can't be read or is too large")
		return
	}
	if len(in.Expected)+len(in.Writes)+len(in.Remove) > maxTxEntries {
		s.refuse(w, "more than 100 entries")
		return
	}
	part := ""
	for _, list := range [][]rowJSON{in.Expected, in.Writes, in.Remove} {
		for _, e := range list {
			part = e.Part
			if e.Table == "op" || e.Table == "servers" {
				if len(in.Writes)+len(in.Remove) > 0 {
					answer(w, http.StatusForbidden, object{})
					return
				}
			}
			if len(e.Value) > maxRowBytes {
				s.refuse(w, "the value of row "+e.Table+"/"+e.Key+" has "+strconv.Itoa(len(e.Value))+" bytes")
				return
			}
		}
	}
	m := s.part(part)
	m.Lock()
	time.Sleep(storeTx)
	s.mu.Lock()
	var conflicts []rowJSON
	applied := true
	for _, e := range in.Expected {
		var have uint64
		if c := s.rows[e.ref()]; c != nil {
			have = c.ver
		}
		if e.Ver == nil || *e.Ver != have {
			applied = false
		}
	}
	if applied {
		s.ver++
		for _, e := range in.Writes {
			s.set(&storedRow{ref: e.ref(), value: e.Value, ver: s.ver})
		}
		for _, e := range in.Remove {
			if s.rows[e.ref()] != nil {
				s.set(&storedRow{ref: e.ref(), ver: s.ver, gone: true})
			}
		}
		s.wake()
	} else {
		for _, e := range in.Expected {
			if c := s.rows[e.ref()]; c != nil {
				conflicts = append(conflicts, c.json())
			}
		}
	}
	ver := s.ver
	s.mu.Unlock()
	m.Unlock()
	time.Sleep(storeAnswer)
	if !applied {
		s.reply(w, http.StatusPreconditionFailed, ver, object{"rows": conflicts})
		return
	}
	s.reply(w, http.StatusOK, ver, object{})
}

func (s *store) refuse(w http.ResponseWriter, reason string) {
	if s.refused != nil {
		s.refused(reason)
	}
	answer(w, http.StatusBadRequest, object{"error": reason})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.awaitUp(r)
	if s.isOverRate(w, 1, readsPerS) {
		return
	}
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	limit := maxPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	ver := s.ver
	var list []*storedRow
	for ref, row := range s.rows {
		if ref.table == q.Get("table") && ref.part == q.Get("part") && ref.key >= q.Get("from") &&
			(q.Get("to") == "" || ref.key < q.Get("to")) {
			list = append(list, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(list, func(i, k int) bool { return list[i].ref.key < list[k].ref.key })
	out := []rowJSON{}
	size := 0
	more := false
	for _, row := range list {
		if len(out) == limit || size+len(row.value) > maxTxBytes {
			more = true
			break
		}
		size += len(row.value)
		out = append(out, row.json())
	}
	s.reply(w, http.StatusOK, ver, object{"rows": out, "hasMore": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	s.awaitUp(r)
	if s.isOverRate(w, 1, readsPerS) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, ver := s.changed, s.ver
		out := []rowJSON{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].ver > after })
		for i := first; i < len(s.history); i++ {
			if s.history[i].ref.table == q.Get("table") {
				out = append(out, s.history[i].json())
			}
		}
		s.mu.Unlock()
		ended := false
		if len(out) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		s.awaitUp(r)
		if len(out) > 0 || ended {
			time.Sleep(storeAnswer)
			s.reply(w, http.StatusOK, ver, object{"rows": out})
			return
		}
	}
}
