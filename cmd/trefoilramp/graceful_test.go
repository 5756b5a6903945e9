package main_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// Guards against an agent that aborts requests when it is replaced under load, and against an entry that reports such a
// request as Unknown.
func TestGracefulReplacement(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 2, shortLeases())
	traffic := newTraffic([]string{"http://" + f.entries[0].line.Callers})
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for g := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(g), 0))
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					traffic.echo(rng, fmt.Sprintf("/echo/%d-%d", g, i))
				}
			}
		})
	}
	for _, m := range f.agents {
		time.Sleep(500 * time.Millisecond)
		if code := m.proc.terminate(t); code != 0 {
			t.Errorf("%s exited with code %d after SIGTERM", m.name, code)
		}
		f.replace(m)
		f.awaitTargets(startTimeout)
	}
	close(stop)
	wg.Wait()
	complete := 0
	for _, a := range traffic.history() {
		switch {
		case a.Outcome == "Complete" && a.Right:
			complete++
		case a.Outcome != "NotRun":
			t.Errorf("request was aborted: %+v", a)
		}
	}
	if complete == 0 {
		t.Error("no request was Complete")
	}
	t.Logf("attempts: %s", outcomes(traffic.history()))
}
