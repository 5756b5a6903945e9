package main_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// outage is an injected fault that has not ended.
type outage struct {
	component string // has no other fault meanwhile
	ends      time.Time
	heal      func()
}

// outages holds the injected faults that have not ended, and counts all injected faults by kind.
type outages struct {
	log    testing.TB
	list   []outage
	counts map[string]int
}

func newOutages(t testing.TB) *outages { return &outages{log: t, counts: make(map[string]int)} }

// add injects a fault for the given duration unless the component has one.
func (o *outages) add(kind, component string, duration time.Duration, inject, heal func()) {
	if o.affects(component) {
		return
	}
	o.counts[kind]++
	o.log.Logf("%s %s %s for %s", time.Now().Format("05.000"), kind, component, duration)
	inject()
	o.list = append(o.list, outage{component, time.Now().Add(duration), heal})
}

// affects reports whether a component has a fault.
func (o *outages) affects(component string) bool {
	return slices.ContainsFunc(o.list, func(f outage) bool { return f.component == component })
}

// healUntil ends faults when they are due, until the time end.
func (o *outages) healUntil(end time.Time) {
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		o.heal(time.Now())
	}
}

// heal ends the faults that are due at now.
func (o *outages) heal(now time.Time) {
	var remaining []outage
	for _, f := range o.list {
		if f.ends.After(now) {
			remaining = append(remaining, f)
			continue
		}
		f.heal()
	}
	o.list = remaining
}

func (o *outages) summary() string {
	var list []string
	for kind, n := range o.counts {
		list = append(list, fmt.Sprintf("%s: %d", kind, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
