package main

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	downTime   = 3 * time.Second  // of a killed process: node_kill, for_s = 3.0
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // for which a job may have nothing running (LOST)
)

func init() {
	cases["images"] = struct {
		rule string
		run  func(b *bench, trouble bool) error
	}{"LOST", runImages}
}

// imageName returns the name of a version of an image by its digest.
func imageName(kind string, n int) string {
	return fmt.Sprintf("sha256:%x", sha256.Sum256(fmt.Appendf(nil, "%s %d", kind, n)))
}

// runImages runs tasks of many images beside each other, kills the leader once, and hands in more jobs.
func runImages(b *bench, trouble bool) error {
	const serving, waves, perWave = 5, 11, 9 // as many images at a time as the site has
	if err := b.deploy(3, 2); err != nil {
		return err
	}
	if err := b.warmUp(); err != nil {
		return err
	}
	each := len(b.workers) // a task of each image on each worker
	for i := range serving {
		b.submit(fmt.Sprintf("%016x", 0xc0000+i), "tank watch", []stepSpec{{
			Count: each, AntiAffinity: 1, CPU: 200, MemMb: 400, Estimate: 300, LongRunning: true, MayMiss: 1,
			Image: imageName("tank-watch", i), TargetMs: 150,
		}})
	}
	for wave := range waves {
		var wg sync.WaitGroup
		for i := range perWave {
			wg.Go(func() {
				n := wave*perWave + i
				id := fmt.Sprintf("%016x", 0xd0000+n)
				b.submit(id, "round plan", []stepSpec{{
					Count: each, AntiAffinity: 1, CPU: 300, MemMb: 1000, Estimate: 1500, Fills: true,
					Image: imageName("round-plan", n), runTime: 1500 * time.Millisecond,
				}})
				b.awaitState(id, "done", 20*time.Second)
			})
		}
		wg.Wait()
	}
	if trouble {
		p := b.leader()
		if p == nil {
			return fmt.Errorf("no entry leads")
		}
		b.signal(p, syscall.SIGKILL)
		<-p.done
		time.Sleep(downTime)
		if err := b.start(p); err != nil {
			return err
		}
	} else {
		time.Sleep(downTime)
	}
	ids := []string{}
	for i := range 4 {
		id := fmt.Sprintf("%016x", 0xe0000+i)
		if !b.submit(id, "fault lookup", []stepSpec{{Count: 6, CPU: 240, MemMb: 480, Estimate: 850, runTime: 850 * time.Millisecond}}) {
			return fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	b.log("end of the traffic")
	time.Sleep(finishTime)
	b.checkIdle(ids)
	for _, w := range b.workers {
		w.mu.Lock()
		b.log("%s was told %d paces", w.name, w.paces)
		w.mu.Unlock()
	}
	return nil
}

// work returns the processors that the tasks of a job of one step take together.
func (b *bench) work(id string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.steps[id][0].cpu * int64(b.steps[id][0].count)
}

// checkIdle checks LOST for jobs of one step: for idleTime, a job has nothing running, although there is capacity for it
// twice over and under half of the capacity of the service is in use.
func (b *bench) checkIdle(ids []string) {
	began := time.Now()
	idle := make(map[string]bool)
	for _, id := range ids {
		s, status := b.state(id)
		b.log("GET %s: %d %s", id, status, s)
		idle[id] = status == http.StatusOK && (s == "queued" || s == "running")
	}
	for time.Since(began) < idleTime+500*time.Millisecond {
		used, capacity := int64(0), int64(0)
		for _, w := range b.workers {
			w.mu.Lock()
			capacity += w.cpu
			for _, a := range w.active {
				if !a.step.fills {
					used += a.step.cpu
				}
				job, _, _ := taskStep(a.key.Task)
				delete(idle, job)
			}
			w.mu.Unlock()
		}
		if used*2 >= capacity {
			clear(idle)
		}
		for id := range idle {
			if b.work(id)*2 > capacity-used {
				delete(idle, id)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for id, is := range idle {
		if s, status := b.state(id); is && status == http.StatusOK && (s == "queued" || s == "running") {
			b.broken("LOST", "job %s is accepted and shown as %q (%d), and nothing of it ran for %v, %v after the end of the traffic, while under half of the capacity was in use",
				id, s, status, idleTime, finishTime)
		}
	}
}
