package main

import (
	"fmt"
	"time"
)

func init() {
	cases["memory"] = struct {
		rule string
		run  func(b *bench, trouble bool) error
	}{"LIMIT", runMemory}
}

// runMemory hands in jobs, of which one in 25 asks for more memory than any worker has.
func runMemory(b *bench, trouble bool) error {
	const jobs, every, tooMuch = 50, 25, 1 << 44 // MB
	if err := b.deploy(3, 3); err != nil {
		return err
	}
	if err := b.warmUp(); err != nil {
		return err
	}
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0x90000+i)
		s := stepSpec{Count: 6, CPU: 240, MemMb: 480, Estimate: 850, runTime: 850 * time.Millisecond}
		if i%every == every-1 {
			if !trouble {
				continue
			}
			s.Count, s.MemMb = 1, tooMuch
		}
		if !b.submit(id, "fault lookup", []stepSpec{s}) {
			b.log("job %s was not accepted", id)
		}
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for i := range jobs {
		if i%every == every-1 {
			continue
		}
		id := fmt.Sprintf("%016x", 0x90000+i)
		if s, ok := b.awaitState(id, "done", 20*time.Second); !ok {
			return fmt.Errorf("job %s is %q", id, s)
		}
	}
	return nil
}
