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

// Rule injects one fault into the calls that match Kind and Client.
type Rule struct {
	Action Action
	Kind   string   `json:",omitempty"` // kind of call, as defined by the stand-in; empty matches all
	Client string   `json:",omitempty"` // name of the client; empty matches all
	First  int64    `json:",omitempty"` // first matching call affected, counted from 1 since Set; 0 means 1
	Count  int64    `json:",omitempty"` // number of calls affected; 0 for no limit
	For    Duration `json:",omitempty"` // time since Set during which the rule applies; 0 for no limit
	Delay  Duration `json:",omitempty"` // delay of Slow and of the lost responses
}

// Duration is a time.Duration with the text encoding of the configuration.
type Duration = model.Duration

// Check records every invalid field of rules in c.
func Check(c strict.Check, rules []Rule) {
	for i, r := range rules {
		r.check(c.Index(i))
	}
}

func (r Rule) check(c strict.Check) {
	if r.Action <= None || r.Action > Reject {
		c.Field("Action").Fail(r.Action, "%s", (*Action)(nil).Allowed())
	}
	strict.Between(c.Field("First"), r.First, 0, math.MaxInt64)
	strict.Between(c.Field("Count"), r.Count, 0, math.MaxInt64)
	model.CheckDuration(c.Field("For"), r.For, 0, maxDuration)
	model.CheckDuration(c.Field("Delay"), r.Delay, 0, maxDuration)
	if r.Action == Slow && r.Delay == 0 {
		c.Field("Delay").Missing("a duration above 0s")
	}
}

// maxDuration is the upper limit of For and Delay of a rule.
const maxDuration = 24 * time.Hour

// Fault is the fault injected into one call; the zero value injects none.
type Fault struct {
	Action Action
	Delay  time.Duration
}

// Script is the current list of rules. It is safe for concurrent use; the zero value has no rules.
type Script struct {
	mu    sync.Mutex
	rules []*activeRule
}

type activeRule struct {
	Rule
	until time.Time // zero for no limit
	calls int64     // matching calls so far
}

// Set replaces all rules and restarts their counts and times; an empty list clears the script. It returns an error that
// wraps a *strict.FaultsError if a rule is invalid, and then changes nothing.
func (s *Script) Set(rules ...Rule) error {
	c := strict.NewCheck()
	Check(c.Field("Rules"), rules)
	if err := c.Faults().Err(); err != nil {
		return fmt.Errorf("fault script: %w", err)
	}
	list := make([]*activeRule, 0, len(rules))
	now := time.Now()
	for _, r := range rules {
		a := &activeRule{Rule: r}
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

// Next counts a call in every rule that matches it and returns the fault of the first rule that applies.
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

func (a *activeRule) matches(kind, client string) bool {
	return (a.Kind == "" || a.Kind == kind) && (a.Client == "" || a.Client == client)
}

// applies counts a matching call and reports whether the rule affects it.
func (a *activeRule) applies(now time.Time) bool {
	a.calls++
	first := max(a.First, 1)
	if a.calls < first || (a.Count > 0 && a.calls >= first+a.Count) {
		return false
	}
	return a.until.IsZero() || now.Before(a.until)
}

// ErrLost is returned for a call whose response is lost; the server closes the connection.
var ErrLost = errors.New("response is lost")

// Errors of calls without effect.
var (
	ErrRefused  = errors.New("call is refused")
	ErrRejected = errors.New("call is rejected")
)

// Run executes effect under the fault f. It returns ErrRefused, ErrRejected, ErrLost, or the error of ctx if ctx ends before the
// response. In the last case effect still runs unless the action is LoseBefore, since the request had already arrived.
func Run[T any](ctx context.Context, f Fault, effect func() (T, error)) (T, error) {
	var zero T
	switch f.Action {
	case Down:
		return zero, ErrRefused
	case Reject:
		return zero, ErrRejected
	case LoseBefore:
		return zero, loseResponse(ctx, f.Delay)
	case LoseAfter:
		_, _ = effect() // its result is lost with the response
		return zero, loseResponse(ctx, f.Delay)
	case LoseLate:
		time.AfterFunc(f.Delay, func() { _, _ = effect() })
		return zero, ErrLost
	case Slow:
		return runDelayed(ctx, f.Delay, effect)
	default:
		return effect()
	}
}

func loseResponse(ctx context.Context, delay time.Duration) error {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return ErrLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

func runDelayed[T any](ctx context.Context, delay time.Duration, effect func() (T, error)) (T, error) {
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
