package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["reborn"] = struct {
		rule string
		run  func(b *bench, trouble bool) error
	}{"TWICE", runReborn}
}

// runReborn cuts a worker off, behind which it restarts under its id, and soon afterwards removes its machine for good.
func runReborn(b *bench, trouble bool) error {
	const cutTime, crashAfter, downFor, calm = 3 * time.Second, time.Second, 1800 * time.Millisecond, 2300 * time.Millisecond
	b.isProxied = true
	if err := b.deploy(3, 8); err != nil {
		return err
	}
	if err := b.warmUp(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	w, agent, x := b.workers[0], b.agents[0], b.proxies[0]
	stop := make(chan struct{})
	var ids []string
	var clientsDone sync.WaitGroup
	clientsDone.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0xf0000+n)
			if b.submit(id, "round plan", []stepSpec{{Count: 6, AntiAffinity: 2, CPU: 500, MemMb: 800, Estimate: 9000, runTime: 9 * time.Second}}) {
				ids = append(ids, id)
			}
		}
	})
	if trouble {
		b.log("worker %s is cut off", w.name)
		w.mu.Lock()
		w.cut = true
		w.mu.Unlock()
		x.setCut(true)
		time.Sleep(crashAfter)
		w.crash()
		time.Sleep(downFor)
		if err := w.start(); err != nil {
			return err
		}
		time.Sleep(cutTime - crashAfter - downFor)
		x.setCut(false)
		w.mu.Lock()
		w.cut = false
		w.mu.Unlock()
		b.log("the cut has healed")
		time.Sleep(calm)
		b.signal(agent, syscall.SIGKILL) // and never starts again
	} else {
		time.Sleep(cutTime + calm)
	}
	time.Sleep(1 * time.Second)
	close(stop)
	clientsDone.Wait()
	time.Sleep(14 * time.Second)
	for _, id := range ids {
		if s, ok := b.awaitState(id, "done", 30*time.Second); !ok {
			return fmt.Errorf("job %s is %q", id, s)
		}
	}
	return nil
}
