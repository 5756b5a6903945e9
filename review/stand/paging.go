package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["paging"] = struct {
		rule string
		run  func(b *bench, trouble bool) error
	}{"TWICE", runPaging}
}

// runPaging lets the store be down while short tasks end, so that more than 500 ends wait on a worker.
func runPaging(b *bench, trouble bool) error {
	const jobs, width, outage = 40, 36, 4200 * time.Millisecond
	if err := b.deploy(3, 2); err != nil {
		return err
	}
	if err := b.warmUp(); err != nil {
		return err
	}
	var wg sync.WaitGroup
	accepted := make([]bool, jobs)
	for i := range jobs {
		wg.Go(func() {
			accepted[i] = b.submit(fmt.Sprintf("%016x", 0xb0000+i), "fault lookup", []stepSpec{{
				Count: width, CPU: 120, MemMb: 480, Estimate: 300, runTime: 300 * time.Millisecond,
			}})
		})
	}
	wg.Wait()
	if trouble {
		b.log("the store is down")
		b.store.setDown(true)
		time.Sleep(outage)
		b.store.setDown(false)
		b.log("the store is back")
	}
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xb0000+i)
		if !accepted[i] {
			return fmt.Errorf("job %s was not accepted", id)
		}
		if s, ok := b.awaitState(id, "done", 40*time.Second); !ok {
			return fmt.Errorf("job %s is %q", id, s)
		}
	}
	for _, w := range b.workers {
		w.mu.Lock()
		b.log("%s had up to %d ends that were not taken note of", w.name, w.maxEnds)
		w.mu.Unlock()
	}
	return nil
}
