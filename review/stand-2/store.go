//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	storeLatency = 4 * time.Millisecond
	rowBytes     = 65536   // of the value of a row
	callBytes    = 1 << 20 // of a transaction
	callEntries  = 100     // of a transaction
	pageRows     = 500
)

type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Removed bool    `json:"removed,omitempty"`
}

type ref struct{ table, part, key string }

func (r row) ref() ref { return ref{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's metadata store with the calls that the system makes.
type store struct {
	rec   *record
	began time.Time

	mu      sync.Mutex
	rows    map[ref]row
	ver     uint64
	log     []row
	changed chan struct{}
	refused int    // transactions with a row that is too large
	lossy   string // caller whose transactions aren't answered and are carried out late; empty for none
	late    time.Duration
	counts  map[string]int // transactions by caller while lossy is set
}

func newStore(rec *record) *store {
	return &store{
		rec: rec, began: time.Now(), rows: make(map[ref]row), changed: make(chan struct{}),
	}
}

// lose makes the store leave the transactions of a caller unanswered and carry them out late, or ends that for the name "".
// It returns the number of transactions of each caller since the last call.
func (s *store) lose(caller string, late time.Duration) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.counts
	s.lossy, s.late, s.counts = caller, late, make(map[string]int)
	return n
}

// listen serves the store for a caller at a free address and returns it.
func (s *store) listen(caller string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		if r.URL.Path == "/v1/rows-tx" {
			s.mu.Lock()
			if s.counts != nil {
				s.counts[caller]++
			}
			isLost, late := s.lossy == caller, s.late
			s.mu.Unlock()
			if isLost {
				s.txLate(r, late)
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		mux.ServeHTTP(w, r)
	}))
}

// txLate carries a transaction out later, without an answer.
func (s *store) txLate(r *http.Request, late time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.rec.note("store: a transaction isn't answered, and is carried out %v later", late)
	time.AfterFunc(late, func() {
		again := httptest.NewRequest(http.MethodPost, "/v1/rows-tx", bytes.NewReader(body))
		answer := httptest.NewRecorder()
		s.tx(answer, again)
		s.rec.note("store: a late transaction is carried out, with status %d", answer.Code)
	})
}

// serve serves h at a free loopback address.
func serve(h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String()
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected, Writes, Remove []row
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, callBytes)).Decode(&in); err != nil {
		reply(w, 400, struct{}{})
		return
	}
	if len(in.Expected)+len(in.Writes)+len(in.Remove) > callEntries {
		reply(w, 400, struct{}{})
		return
	}
	for _, p := range in.Writes {
		if len(p.Value) > rowBytes {
			s.mu.Lock()
			s.refused++
			n := s.refused
			s.mu.Unlock()
			if n <= 3 || n%100 == 0 {
				s.rec.note("store refuses a transaction (%d so far): row %s/%s has %d bytes, at most %d are accepted",
					n, p.Table, p.Key, len(p.Value), rowBytes)
			}
			reply(w, 400, struct{}{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	current := []row{}
	for _, e := range in.Expected {
		have, ok := s.rows[e.ref()]
		var ver uint64
		if ok {
			ver = *have.Ver
			current = append(current, have)
		}
		if e.Ver == nil || ver != *e.Ver {
			met = false
		}
	}
	if !met {
		reply(w, 412, map[string]any{"rows": current, "ver": s.ver, "nowMs": s.now()})
		return
	}
	s.ver++
	ver := s.ver
	for _, p := range in.Writes {
		p.Ver = &ver
		s.rows[p.ref()] = p
		s.log = append(s.log, p)
	}
	for _, d := range in.Remove {
		if _, ok := s.rows[d.ref()]; ok {
			delete(s.rows, d.ref())
			d.Ver, d.Removed = &ver, true
			s.log = append(s.log, d)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	reply(w, 200, map[string]any{"ver": ver, "nowMs": s.now()})
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	size, n := 0, 0
	for n < len(list) && n < limit && (n == 0 || size+len(list[n].Value) <= callBytes) {
		size += len(list[n].Value)
		n++
	}
	reply(w, 200, map[string]any{"rows": list[:n], "hasMore": n < len(list), "ver": s.ver, "nowMs": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list := []row{}
		for i := len(s.log) - 1; i >= 0 && *s.log[i].Ver > after; i-- {
			if s.log[i].Table == q.Get("table") {
				list = append(list, s.log[i])
			}
		}
		changed, ver := s.changed, s.ver
		s.mu.Unlock()
		for i, k := 0, len(list)-1; i < k; i, k = i+1, k-1 {
			list[i], list[k] = list[k], list[i]
		}
		if len(list) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, 200, map[string]any{"rows": list, "ver": ver, "nowMs": s.now()})
		return
	}
}

// put writes a row as the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	ver := s.ver
	p := row{Table: table, Key: key, Value: value, Ver: &ver}
	s.rows[p.ref()] = p
	s.log = append(s.log, p)
	close(s.changed)
	s.changed = make(chan struct{})
}
