//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

const (
	silentWorkers = 3
	silentRounds  = 6
	silentBurst   = 10 // jobs at once, before the connections go silent
	silentPause   = 6 * time.Second
	contact       = 3 * time.Second // contactMs
	configBound   = 2 * time.Second // configMs
	silentProbe   = 20 * time.Millisecond
	silentGiveUp  = 6 * time.Second
)

// playSilent checks that a configuration is in force in time at an entry whose connections to the store have gone silent
// for longer than contact before, while new connections work.
func playSilent(s *stage) (int, error) {
	s.delay = 3400 * time.Microsecond // between zones
	s.plan = func(wire.Run) runs.Plan {
		return runs.Plan{Size: sizes.Resources{Processors: shortCPU}, RunTime: shortRunTime}
	}
	if err := s.configure(1); err != nil {
		return noCase, err
	}
	for i := range 3 {
		if err := s.addEntry(fmt.Sprintf("edge-%d", i+1), 0.16); err != nil {
			return noCase, err
		}
	}
	for i := range silentWorkers {
		if err := s.addWorker(fmt.Sprintf("side-%d", i+1), fmt.Sprintf("r1-%d", 1+i/3)); err != nil {
			return noCase, err
		}
	}
	c := newClient(s)
	if !c.submit(s.entryAddresses(), "00000000000000aa", smallJob) {
		return noCase, errors.New("no job was accepted")
	}
	var further []string
	isBroken := false
	for round := range silentRounds {
		p := s.entries[round%len(s.entries)]
		var wg sync.WaitGroup
		for i := range silentBurst {
			wg.Go(func() { c.post(p.callers, fmt.Sprintf("%016x", 0x5000+100*round+i), smallJob) })
		}
		wg.Wait()
		time.Sleep(500 * time.Millisecond)
		if s.trouble {
			s.logf("%d connections of %s to the store go silent", p.store.silence(), p.name)
		}
		time.Sleep(contact + 50*time.Millisecond)
		further = append(further, fmt.Sprintf("/further-%d/", round))
		if err := s.configure(uint64(2+round), further...); err != nil {
			return noCase, err
		}
		acknowledged := time.Now()
		s.logf("version %d is acknowledged; it adds %s", 2+round, further[round])
		inForce := false
		for n := 0; !inForce && time.Since(acknowledged) < silentGiveUp; n++ {
			sent := time.Now()
			status, _ := c.send(p.callers, http.MethodPost, fmt.Sprintf("%s%016x", further[round], 0x100000+10000*round+n), smallJob)
			late := sent.Sub(acknowledged)
			switch {
			case status == http.StatusOK:
				s.logf("%s has it in force %.3f s after that", p.name, late.Seconds())
				inForce = true
			case status == http.StatusNotFound && late > configBound:
				s.logf("CONFIG: %s refused a request with 404 that was sent %.3f s after that", p.name, late.Seconds())
				isBroken = true
			}
			time.Sleep(silentProbe)
		}
		time.Sleep(silentPause - silentProbe)
	}
	if isBroken {
		return broken, nil
	}
	return held, nil
}
