package jobs

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/jobs/fcast"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
)

// meter records the metrics of an entry or an agent; it implements lead.Meter and driver.CallMeter.
type meter struct {
	set *metric.Set
}

// Takeover implements lead.Meter.
func (m meter) Takeover() { m.set.Counter(metric.CellTakeovers).Inc(1) }

// RunStarted implements lead.Meter.
func (m meter) RunStarted(untilFirst time.Duration, isFirst bool) {
	m.set.Counter(metric.RunsStarted).Inc(1)
	if isFirst {
		m.set.Histogram(metric.StartSeconds).RecordDuration(untilFirst)
	}
}

// RunConfirmed implements lead.Meter.
func (m meter) RunConfirmed(took time.Duration) {
	m.set.Histogram(metric.ConfirmSeconds).RecordDuration(took)
}

// RunEnded implements lead.Meter.
func (m meter) RunEnded(cause wire.EndCause) {
	m.set.Counter(metric.RunsEnded, strings.TrimPrefix(cause.String(), "End")).Inc(1)
}

// ReleasedRunFound implements lead.Meter.
func (m meter) ReleasedRunFound() { m.set.Counter(metric.ReleasedRuns).Inc(1) }

// ZonesEvacuated implements lead.Meter.
func (m meter) ZonesEvacuated(n int) { m.set.Gauge(metric.ZonesEvacuated).Update(float64(n)) }

// StartWithheld implements lead.Meter.
func (m meter) StartWithheld() { m.set.Counter(metric.StartsWithheld).Inc(1) }

// JobEnded implements lead.Meter.
func (m meter) JobEnded(state rows.State, took time.Duration) {
	m.set.Counter(metric.JobsEnded, state.String()).Inc(1)
	m.set.Histogram(metric.JobSeconds, state.String()).RecordDuration(took)
}

// JobBegun implements lead.Meter.
func (m meter) JobBegun(reason order.Reason) {
	m.set.Counter(metric.JobsBegun, strings.TrimPrefix(reason.String(), "Reason")).Inc(1)
}

// JobMovedUp implements lead.Meter.
func (m meter) JobMovedUp() { m.set.Counter(metric.JobsMovedUp).Inc(1) }

// JobsWaiting implements lead.Meter.
func (m meter) JobsWaiting(n int) { m.set.Gauge(metric.JobsWaiting).Update(float64(n)) }

// jobSubmitted counts submitted jobs by verdict.
func (m meter) jobSubmitted(v intake.Verdict) { m.set.Counter(metric.JobsSubmitted, v.String()).Inc(1) }

// jobRejected counts jobs that admission control has rejected.
func (m meter) jobRejected(r fcast.Reason) { m.set.Counter(metric.JobsTurnedAway, r.String()).Inc(1) }

// CallEnded implements driver.CallMeter.
func (m meter) CallEnded(kind driver.CallKind, took time.Duration, err error) {
	outcome := "done"
	if errors.HasType(err, (*driver.RefusedError)(nil)) {
		outcome = "refused"
	} else if err != nil {
		outcome = "failed"
	}
	m.set.Counter(metric.WorkerCalls, kind.String(), outcome).Inc(1)
	m.set.Histogram(metric.WorkerSeconds, kind.String()).RecordDuration(took)
}

// CallsOpen implements driver.CallMeter.
func (m meter) CallsOpen(kind driver.CallKind, n int, oldest time.Duration) {
	m.set.Gauge(metric.WorkerOpen, kind.String()).Update(float64(n))
	m.set.Gauge(metric.WorkerOldest, kind.String()).Update(oldest.Seconds())
}

// CallsWaiting implements driver.CallMeter.
func (m meter) CallsWaiting(kind driver.CallKind, n int, oldest time.Duration) {
	m.set.Gauge(metric.WorkerWaiting, kind.String()).Update(float64(n))
	m.set.Gauge(metric.WorkerWait, kind.String()).Update(oldest.Seconds())
}

// StoreMeter returns a function that records the outcome and the duration of each call to a store.
func StoreMeter(set *metric.Set) func(call string, took time.Duration, err error) {
	return func(call string, took time.Duration, err error) {
		outcome := "done"
		if err != nil {
			outcome = "failed"
		}
		set.Counter(metric.StoreCalls, call, outcome).Inc(1)
		set.Histogram(metric.StoreSeconds, call).RecordDuration(took)
	}
}
