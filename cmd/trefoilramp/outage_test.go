package main_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// outage is a fault in force.
type outage struct {
	part string // that no other fault touches meanwhile
	ends time.Time
	heal func()
}

// outages are the faults in force and a count of all.
type outages struct {
	log    testing.TB
	list   []outage
	counts map[string]int
}

func newOutages(t testing.TB) *outages { return &outages{log: t, counts: make(map[string]int)} }

// add injects a fault unless the part has one.
func (o *outages) add(what, part string, lasts time.Duration, inject, heal func()) {
	if o.touches(part) {
		return
	}
	o.counts[what]++
	o.log.Logf("%s %s %s for %s", time.Now().Format("05.000"), what, part, lasts)
	inject()
	o.list = append(o.list, outage{part, time.Now().Add(lasts), heal})
}

// touches reports whether a part has a fault.
func (o *outages) touches(part string) bool {
	return slices.ContainsFunc(o.list, func(f outage) bool { return f.part == part })
}

// healUntil ends the faults that are due until the time end.
func (o *outages) healUntil(end time.Time) {
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		o.heal(time.Now())
	}
}

func (o *outages) heal(now time.Time) {
	var left []outage
	for _, f := range o.list {
		if f.ends.After(now) {
			left = append(left, f)
			continue
		}
		f.heal()
	}
	o.list = left
}

func (o *outages) summary() string {
	var list []string
	for what, n := range o.counts {
		list = append(list, fmt.Sprintf("%s: %d", what, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
