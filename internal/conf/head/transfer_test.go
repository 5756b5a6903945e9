package head_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/link/netsim"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// documentBytes at slowLink bytes per second take 3 s. A document and a link of ten times the size would take the same time,
// but the race detector another second.
const (
	documentBytes = 189_000
	slowLink      = 500_000 / 8
)

// largeDocument returns a valid document of documentBytes or a little more: teams that list all job classes.
func largeDocument(t *testing.T) model.Document {
	t.Helper()
	d := model.Default()
	var classes []string
	for i := range 40 {
		classes = append(classes, fmt.Sprintf("class-%02d-%s", i, strings.Repeat("x", 30)))
		d.JobClasses = append(d.JobClasses, model.DefaultJobClass(classes[i]))
	}
	quota := model.TaskSize{Processors: 1, Memory: 1}
	for i := 0; ; i++ {
		d.Teams = append(d.Teams, model.Team{Name: fmt.Sprintf("filler-%04d", i), Weight: 1, Quota: quota, JobClasses: classes})
		if i%10 != 0 {
			continue
		}
		b, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if len(b) > documentBytes {
			return d
		}
	}
}

// Guards against an entry on a slow link that never reads a large configuration, because its transfer takes longer than
// the limit of a read and each attempt begins anew.
func TestLargeDocumentOverSlowLink(t *testing.T) {
	const target = 5 * time.Second
	s := store.New(store.Options{})
	writer := head.New(s, head.Options{})
	if _, err := writer.Accept(t.Context(), head.Change{Author: "amina", Document: largeDocument(t)}); err != nil {
		t.Fatalf("%.500v", err)
	}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	relay, err := netsim.New(t.Context(), server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	relay.SetRate(netsim.Backward, slowLink)
	client := table.NewClient(table.Options{URL: "http://" + relay.Address()})
	defer client.Close()
	reader := head.New(client, head.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { reader.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	began := time.Now()
	for reader.Version() != 1 {
		if time.Since(began) > target {
			t.Fatalf("version %d in force after %v, want 1", reader.Version(), target)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("in force after %v", time.Since(began))
}
