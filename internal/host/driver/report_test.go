package driver_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// frameLeader is a leader whose sessions refuse messages that exceed a frame.
type frameLeader struct {
	leader
}

func (l *frameLeader) Send(m wire.Message) error {
	b, err := wire.Pack(m)
	if err != nil {
		return err
	}
	if len(b) > frame.MaxPayload {
		return frame.ErrTooLarge
	}
	return l.leader.Send(m)
}

// crowdedWorker lists many runs.
type crowdedWorker struct {
	driver.Worker
	runs int
}

func (w *crowdedWorker) Poll(context.Context, driver.PollRequest) (driver.PollResponse, error) {
	time.Sleep(100 * time.Millisecond)
	r := driver.PollResponse{Clock: 1}
	for i := range w.runs {
		r.Running = append(r.Running, wire.RunState{Run: wire.Run{Task: fmt.Sprintf("5c0e7a21d94b36f8.0.0.%d", i), Number: 1}})
	}
	return r, nil
}

// Guards against an agent that cannot report, since its worker has more runs than a frame takes.
func TestReportOfManyRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &crowdedWorker{runs: 5000}
		a := driver.New(driver.Config{Worker: w, Lease: lease, Log: zap.NewNop()})
		a.Announce(wire.WorkerState{Incarnation: wire.WorkerIncarnation{ID: "w-1", StartedAt: 1}}, 1)
		l := &frameLeader{}
		a.Adopt(l, &wire.LeadAdopt{Token: 5})
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.Run(ctx)
		}()
		time.Sleep(time.Second)
		var parts []*wire.ReportPart
		reported := 0
		l.mu.Lock()
		messages := slices.Clone(l.messages)
		l.mu.Unlock()
		for _, m := range messages {
			switch m := m.(type) {
			case *wire.ReportPart:
				parts = append(parts, m)
			case *wire.RunReport:
				if m.Complete {
					reported = len(m.Join(parts).Running)
				}
				parts = nil
			}
		}
		if reported != w.runs || l.isClosed() {
			t.Errorf("%d of %d runs in the last complete report; session closed: %v", reported, w.runs, l.isClosed())
		}
		cancel()
		<-done
	})
}

// streamingWorker lists the ends of runs that end one after the other, as long as it is polled with a wait.
type streamingWorker struct {
	driver.Worker
	last uint64 // number of the last end
}

func (w *streamingWorker) Poll(_ context.Context, r driver.PollRequest) (driver.PollResponse, error) {
	time.Sleep(time.Millisecond)
	if r.Wait > 0 && r.DurableEnds == w.last {
		time.Sleep(220 * time.Millisecond)
		w.last++
	}
	response := driver.PollResponse{Clock: 1}
	for n := r.DurableEnds + 1; n <= w.last; n++ {
		response.Ended = append(response.Ended, wire.RunEnd{Number: n, Run: wire.Run{Task: run1.Task, Number: int(n)}, Cause: wire.EndDone})
	}
	return response, nil
}

// Guards against a run that is never released although its worker has lost it: each complete report had one end, as many as the
// longest list before, so that there might have been more.
func TestReportsBesideSingleEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &streamingWorker{}
		i := wire.WorkerIncarnation{ID: "w-1", StartedAt: 1}
		a := driver.New(driver.Config{Worker: w, Lease: lease, Log: zap.NewNop()})
		a.Announce(wire.WorkerState{Incarnation: i}, 1)
		l := &leader{}
		a.Adopt(l, &wire.LeadAdopt{Token: 5})
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.Run(ctx)
		}()
		for n := range uint64(300) { // every 10 ms, an acknowledgement of all ends so far
			time.Sleep(10 * time.Millisecond)
			acked := uint64(0)
			for number := range l.ends() {
				acked = max(acked, number)
			}
			a.Execute(ctx, l, &wire.TaskOrders{Incarnation: i, Number: n + 1, DurableEnds: acked})
		}
		reports := l.reports()
		reports = reports[len(reports)/2:]
		isWhole := func(m *wire.RunReport) bool { return m.Complete && !m.MoreEnds }
		if !slices.ContainsFunc(reports, isWhole) {
			t.Errorf("none of the last %d reports shows all ends", len(reports))
		}
		cancel()
		<-done
	})
}
