package guard_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/guard"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	balancer = netip.MustParseAddr("10.0.0.1")
	other    = netip.MustParseAddr("10.0.0.2")
)

// crowd is a ledger with connections at the time now.
type crowd struct {
	*guard.Ledger
	now time.Time
}

func newCrowd(bytes int64, connections, perAddress int) *crowd {
	return &crowd{guard.NewLedger(guard.Limits{
		Bytes: bytes, Connections: connections, PerAddress: perAddress, StallTimeout: 15 * time.Second,
	}), start}
}

func (c *crowd) open(t *testing.T, from netip.Addr) guard.ID {
	t.Helper()
	id, victims, r := c.Open(from, c.now)
	if len(victims) != 0 {
		t.Fatalf("closed %v for a new connection (%v)", victims, r)
	}
	return id
}

// send receives n bytes of a body on a connection and returns the connections to close.
func (c *crowd) send(id guard.ID, n int64) []guard.ID {
	c.Enter(id, guard.Reading, c.now)
	c.Progress(id, n, c.now)
	return c.Reserve(id, n, c.now)
}

// Load: 40 uploads of 256 KiB stopped one byte short of their end, while a caller uploads 256 KiB and another connection
// is idle. Guards against a budget that hits the caller or the idle connection before those that hold it.
func TestStalledUploadsYield(t *testing.T) {
	c := newCrowd(40*256<<10, 100, 100)
	idle := c.open(t, balancer)
	begun := c.open(t, balancer)
	c.send(begun, 1<<10)
	var stalled []guard.ID
	for range 39 {
		id := c.open(t, balancer)
		if v := c.send(id, 256<<10-1); len(v) != 0 {
			t.Fatalf("closed %v within the budget", v)
		}
		stalled = append(stalled, id)
	}
	c.now = c.now.Add(3 * time.Second)
	caller := c.open(t, balancer)
	var closed []guard.ID
	for range 64 {
		c.now = c.now.Add(time.Millisecond)
		closed = append(closed, c.send(caller, 8<<10)...)
	}
	if len(closed) == 0 || slices.ContainsFunc(closed, func(id guard.ID) bool { return !slices.Contains(stalled, id) }) {
		t.Errorf("closed %v of idle %v, begun %v, caller %v, stalled %v; want only stalled ones", closed, idle, begun, caller, stalled)
	}
	if c.Held() > 40*256<<10 {
		t.Errorf("%d bytes held", c.Held())
	}
}

// Load: uploads that drip a byte each 100 ms after 200 KiB. Guards against slow connections that keep the whole budget by
// moving a byte from time to time.
func TestDrippingUploadsYield(t *testing.T) {
	c := newCrowd(10*200<<10, 100, 100)
	var dripping []guard.ID
	for range 9 {
		id := c.open(t, other)
		c.send(id, 200<<10)
		dripping = append(dripping, id)
	}
	for range 50 {
		c.now = c.now.Add(100 * time.Millisecond)
		for _, id := range dripping {
			c.send(id, 1)
		}
	}
	caller := c.open(t, balancer)
	if closed := c.send(caller, 256<<10); len(closed) != 1 || !slices.Contains(dripping, closed[0]) {
		t.Errorf("closed %v; want one of the dripping %v", closed, dripping)
	}
}

// Load: requests being handled hold the whole budget. Guards against the loss of an answer to a request that may be
// stored, and against a request that is taken beyond the budget.
func TestHandledRequestsStay(t *testing.T) {
	c := newCrowd(1<<20, 10, 10)
	for range 4 {
		id := c.open(t, balancer)
		c.Enter(id, guard.Handling, c.now)
		c.Reserve(id, 256<<10, c.now)
	}
	late := c.open(t, balancer)
	c.Enter(late, guard.Handling, c.now)
	if v := c.Reserve(late, 1, c.now); !slices.Equal(v, []guard.ID{late}) || c.Held() != 1<<20 || c.Len() != 5 {
		t.Errorf("refused %v with %d bytes held by %d; want only the last request refused", v, c.Held(), c.Len())
	}
	c.Complete(late, c.now)
	c.Close(late)
	if c.Held() != 1<<20 || c.Len() != 4 {
		t.Errorf("%d bytes held by %d", c.Held(), c.Len())
	}
}

// Load: 40 headers of 256 KiB at once. Guards against connections that are being closed, whose memory is still in use,
// being taken for free memory, and against a small request that is refused meanwhile.
func TestClosingConnectionsCount(t *testing.T) {
	c := newCrowd(1<<20, 100, 100)
	granted := 0
	for range 40 {
		id := c.open(t, other)
		if v := c.send(id, 256<<10); len(v) == 0 || v[len(v)-1] != id {
			granted++
		}
	}
	if granted > 5 {
		t.Errorf("%d of 256 KiB granted before any has been closed, want at most 5", granted)
	}
	if v := c.send(c.open(t, balancer), 1<<10); len(v) > 0 {
		t.Errorf("closed %v for a small request", v)
	}
}

// Load: responses that nobody reads. Guards against a handled request that cannot be closed although its client is what
// it waits for.
func TestUnreadResponsesYield(t *testing.T) {
	c := newCrowd(2<<20, 10, 10)
	unread := c.open(t, other)
	c.Enter(unread, guard.Handling, c.now)
	c.Reserve(unread, 2<<20, c.now)
	c.Enter(unread, guard.Writing, c.now)
	c.now = c.now.Add(time.Second)
	if v := c.Reserve(c.open(t, balancer), 1, c.now); !slices.Equal(v, []guard.ID{unread}) {
		t.Errorf("closed %v; want %v", v, unread)
	}
}

// Load: a pipelined header that is counted while the request before it is handled, and released with the next one. Guards
// against a budget that grows by such bytes, since the end of the first request has already released them.
func TestBytesAreReleasedOnce(t *testing.T) {
	c := newCrowd(1<<20, 10, 10)
	id := c.open(t, other)
	c.Enter(id, guard.Handling, c.now)
	c.Reserve(id, 100<<10, c.now)
	c.Complete(id, c.now)
	c.Release(id, 100<<10)
	if c.Held() != 0 {
		t.Errorf("%d bytes held, want 0", c.Held())
	}
}

// Load: silent connections up to the limit. Guards against new callers that are turned away, or used connections that are
// closed, while connections that never sent a request stay.
func TestSilentConnectionsYield(t *testing.T) {
	c := newCrowd(1<<20, 10, 10)
	used := c.open(t, balancer)
	c.Enter(used, guard.Handling, c.now)
	c.Complete(used, c.now)
	holder := c.open(t, other)
	c.send(holder, 100<<10)
	var silent []guard.ID
	for range 8 {
		c.now = c.now.Add(time.Millisecond)
		silent = append(silent, c.open(t, other))
	}
	for i, want := range append([]guard.ID{holder}, silent...) {
		c.now = c.now.Add(time.Millisecond)
		if _, v, r := c.Open(other, c.now); !slices.Equal(v, []guard.ID{want}) || r != guard.Connections {
			t.Errorf("connection %d: closed %v for %v; want %v for Connections", i, v, r, want)
		}
	}
}

// Load: one address opens connections up to its share. Guards against an address that takes those of others.
func TestAddressHasShare(t *testing.T) {
	c := newCrowd(1<<20, 10, 6)
	first := c.open(t, other)
	for range 5 {
		c.open(t, balancer)
	}
	oldest := c.open(t, balancer)
	c.Enter(oldest, guard.Reading, c.now.Add(-time.Hour))
	c.now = c.now.Add(time.Second)
	if _, v, r := c.Open(balancer, c.now); len(v) != 1 || v[0] == first || r != guard.PerAddress {
		t.Errorf("closed %v for %v; want one of the same address", v, r)
	}
}

// Load: bodies and responses that stop, beside an idle connection and one that progresses slowly. Guards against
// connections that stay for ever, and against a timeout that depends on the length of an upload.
func TestStalledConnections(t *testing.T) {
	c := newCrowd(1<<20, 10, 10)
	c.open(t, balancer)
	slow, body, response := c.open(t, balancer), c.open(t, balancer), c.open(t, balancer)
	c.send(body, 1)
	c.Enter(response, guard.Writing, c.now)
	for range 30 {
		c.send(slow, 1)
		c.now = c.now.Add(time.Second)
		v := c.Stalled(c.now)
		if since := c.now.Sub(start); since <= 15*time.Second && len(v) != 0 ||
			since == 16*time.Second && !slices.Equal(v, []guard.ID{body, response}) || since > 16*time.Second && len(v) != 0 {
			t.Errorf("after %v: closed %v; want %v and %v after 15 s", since, v, body, response)
		}
	}
}

// Guards against an event of a closed connection that changes the one that has its place now.
func TestClosedConnectionHasNoEffect(t *testing.T) {
	c := newCrowd(1<<20, 10, 10)
	old := c.open(t, balancer)
	c.Reserve(old, 100, c.now)
	c.Close(old)
	c.Close(old)
	id := c.open(t, other)
	c.Release(old, 100)
	c.Complete(old, c.now)
	if v := c.Reserve(old, 1, c.now); !slices.Equal(v, []guard.ID{old}) {
		t.Errorf("a closed connection may reserve: %v", v)
	}
	if c.Reserve(id, 7, c.now); c.Held() != 7 || c.Len() != 1 {
		t.Errorf("%d bytes held by %d connections; want 7 by 1", c.Held(), c.Len())
	}
}

// Guards against limits beyond the memory or the descriptors of a machine, and against limits that ordinary callers reach.
func TestDerive(t *testing.T) {
	for _, m := range []struct{ memory, descriptors int64 }{{32, 256}, {152, 4096}, {184, 4100}, {284, 4100}, {536, 8192}, {4096, 1024}} {
		l := guard.Derive(m.memory, m.descriptors)
		if used := l.Bytes + int64(l.Connections)*32<<10; used > m.memory<<20/5*2 {
			t.Errorf("%+v: clients may use %d bytes", m, used)
		}
		if n := int64(l.Connections + l.Handshakes); n > max(m.descriptors-200-64, 32) {
			t.Errorf("%+v: clients may use %d descriptors", m, n)
		}
		if m.memory >= 152 && m.descriptors >= 4096 && (l.Connections < 900 || l.PerAddress < 850 || l.Bytes < 64*256<<10) {
			t.Errorf("%+v: limits %+v are too low", m, l)
		}
	}
}

// 4,000 connections, the most that the limits of an entry allow, all stalled: the time of one decision.
func BenchmarkReserveBeyondBudget(b *testing.B) {
	const n = 4000
	c := newCrowd(n<<10, n, n)
	for range n {
		id, _, _ := c.Open(balancer, c.now)
		c.Reserve(id, 1<<10, c.now)
	}
	for b.Loop() {
		id, victims, _ := c.Open(balancer, c.now)
		for _, v := range append(victims, c.Reserve(id, 1<<10, c.now)...) {
			c.Close(v)
		}
	}
}
