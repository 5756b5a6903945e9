package order_test

import (
	"math/rand/v2"
	"testing"

	"trefoilramp.org/trefoilramp/internal/jobs/order"
)

// Guards against an ordering pass of more than 5 ms at 10,000 waiting jobs.
func BenchmarkPlan(b *testing.B) {
	jobs := randomJobs(rand.New(rand.NewPCG(1, 2)), 10_000)
	for name, policy := range map[string]order.Policy{"no rules": {}, "all rules": allRules} {
		b.Run(name, func(b *testing.B) {
			p := order.Planner{Policy: policy}
			for b.Loop() {
				p.Plan(start, jobs, order.Room{BestEffort: 300_000})
			}
		})
	}
}
