package script

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Rule is one fault of a script; it applies to matching calls only.
type Rule struct {
	Action Action
	Kind   string   `json:",omitempty"` // kind of call, named by the stand-in; empty for all kinds
	Client string   `json:",omitempty"` // name of the client; empty for all clients
	First  int64    `json:",omitempty"` // first matching call that is affected, counted from 1 at Set; 0 is the same as 1
	Count  int64    `json:",omitempty"` // number of calls affected; 0 for no bound
	For    Duration `json:",omitempty"` // time since Set for which the rule applies; 0 until it is cleared
	Delay  Duration `json:",omitempty"` // of Slow and the lost responses
}

// Duration is the form of a length of time in scripts.
type Duration = model.Duration

// Check records every fault of the rules.
func Check(c strict.Check, rules []Rule) {
	for i, r := range rules {
		r.check(c.Index(i))
	}
}

func (r Rule) check(c strict.Check) {
	if r.Action <= None || r.Action > LoseLate {
		c.Field("Action").Fail(r.Action, "%s", (*Action)(nil).Allowed())
	}
	strict.Between(c.Field("First"), r.First, 0, math.MaxInt64)
	strict.Between(c.Field("Count"), r.Count, 0, math.MaxInt64)
	model.CheckDuration(c.Field("For"), r.For, 0, maxTime)
	model.CheckDuration(c.Field("Delay"), r.Delay, 0, maxTime)
	if r.Action == Slow && r.Delay == 0 {
		c.Field("Delay").Missing("a duration above 0s")
	}
}

// maxTime bounds the durations of a rule.
const maxTime = 24 * time.Hour

// Fault is what happens to one call.
type Fault struct {
	Action Action
	Delay  time.Duration
}

// Script is the set of rules in force; the zero value has none, and it is safe for concurrent use.
type Script struct {
	mu    sync.Mutex
	rules []*active
}

type active struct {
	Rule
	until time.Time // zero for no end
	calls int64
}

// Set replaces all rules; an empty list clears the script.
func (s *Script) Set(rules ...Rule) error {
	c := strict.NewCheck()
	Check(c.Field("Rules"), rules)
	if err := c.Faults().Err(); err != nil {
		return fmt.Errorf("fault script: %w", err)
	}
	list := make([]*active, 0, len(rules))
	now := time.Now()
	for _, r := range rules {
		a := &active{Rule: r}
		if r.For > 0 {
			a.until = now.Add(time.Duration(r.For))
		}
		list = append(list, a)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = list
	return nil
}

// Clear removes all rules.
func (s *Script) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
}

// Next counts a call and returns the fault of the first rule that applies to it.
func (s *Script) Next(kind, client string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f Fault
	now := time.Now()
	for _, a := range s.rules {
		if a.matches(kind, client) && a.applies(now) && f.Action == None {
			f = Fault{a.Action, time.Duration(a.Delay)}
		}
	}
	return f
}

func (a *active) matches(kind, client string) bool {
	return (a.Kind == "" || a.Kind == kind) && (a.Client == "" || a.Client == client)
}

// applies counts a matching call and reports whether the rule affects it.
func (a *active) applies(now time.Time) bool {
	a.calls++
	first := max(a.First, 1)
	if a.calls < first || (a.Count > 0 && a.calls >= first+a.Count) {
		return false
	}
	return a.until.IsZero() || now.Before(a.until)
}

// ErrLost says that the response of a call is lost; the server cuts the connection.
var ErrLost = errors.New("response is lost")

// ErrRefused says that a call was refused without effect.
var ErrRefused = errors.New("call is refused")

// Run executes effect under the fault. It returns ErrRefused, ErrLost, or the error of ctx when ctx ends before the response;
// in the last case the effect still happens, since the request had already arrived.
func Run[T any](ctx context.Context, f Fault, effect func() (T, error)) (T, error) {
	var zero T
	switch f.Action {
	case Down:
		return zero, ErrRefused
	case LoseBefore:
		return zero, lose(ctx, f.Delay)
	case LoseAfter:
		_, _ = effect() // the outcome is lost with the response
		return zero, lose(ctx, f.Delay)
	case LoseLate:
		time.AfterFunc(f.Delay, func() { _, _ = effect() })
		return zero, ErrLost
	case Slow:
		return runLater(ctx, f.Delay, effect)
	default:
		return effect()
	}
}

func lose(ctx context.Context, delay time.Duration) error {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return ErrLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

func runLater[T any](ctx context.Context, delay time.Duration, effect func() (T, error)) (T, error) {
	type outcome struct {
		v   T
		err error
	}
	done := make(chan outcome, 1)
	time.AfterFunc(delay, func() {
		v, err := effect()
		done <- outcome{v, err}
	})
	select {
	case o := <-done:
		return o.v, o.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}
