package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const explainTimeout = time.Second // for the answer of the leader

// Explain tells where a job would run if it were submitted to this entry now, as the JSON of a lead.Explanation, and
// changes nothing. It serves one call at a time; its error for a job too long for a message is frame.ErrTooLarge.
func (e *Entry) Explain(ctx context.Context, j *spec.Job) ([]byte, error) {
	if !e.explaining.TryLock() {
		return nil, errors.New("the entry is explaining another job; try again")
	}
	defer e.explaining.Unlock()
	short := *j
	short.Payload = "" // no decision depends on it
	packed, err := wire.Pack(&short)
	if err != nil {
		return nil, fmt.Errorf("encode the job: %w", err)
	}
	limited, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	answer, err := e.leaderClient.explain(limited, &wire.JobAsk{Action: wire.JobExplain, ID: string(j.ID), Packed: packed})
	if err != nil {
		return nil, fmt.Errorf("ask the leader: %w", err)
	}
	var x lead.Explanation
	if err := json.Unmarshal(answer, &x); err != nil {
		return nil, fmt.Errorf("decode the leader's answer: %w", err)
	}
	x.Entry = e.cfg.Name
	if e.admission != nil {
		d := e.admission.Preview(j)
		x.Admission = &lead.AdmissionPreview{Admit: d.Admit, Reason: d.Reason.String(), Wait: d.Wait.Milliseconds()}
	}
	return json.Marshal(&x)
}

// explain returns the explanation that the leader sends before its reply.
func (c *leaderClient) explain(ctx context.Context, m *wire.JobAsk) ([]byte, error) {
	t, err := c.Request(ctx, m)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.explained; t.Verdict == wire.VerdictKnown && x != nil && x.Number == m.Number {
		return x.Packed, nil
	}
	return nil, errors.Newf("it replied %v: it is busy, of an older version or not certain to lead; try again", t.Verdict)
}
