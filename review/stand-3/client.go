//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// step is a step of a job as a client writes it.
type step struct {
	Count        int  `json:"count"`
	CPU          int  `json:"cpu"`
	MemMb        int  `json:"memMb"`
	EstRuntimeMs int  `json:"estRuntimeMs,omitempty"`
	AntiAffinity int  `json:"antiAffinity,omitempty"`
	LongRunning  bool `json:"longRunning,omitempty"`
	MayMiss      int  `json:"mayMiss,omitempty"`
}

type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	StartAtMs   int64  `json:"startAtMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 3 * time.Second

// client sends requests of callers, each on a connection of its own.
type client struct {
	s    *stage
	http *http.Client
}

func newClient(s *stage) *client {
	return &client{s: s, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// post hands a job in at an address and returns the status, 0 without an answer.
func (c *client) post(address, id string, body any) int {
	status, _ := c.send(address, http.MethodPost, prefix+id, body)
	return status
}

// send sends a request for a path to an address and returns the status, 0 without an answer, and the body.
func (c *client) send(address, method, path string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(c.s.ctx, clientTimeout)
	defer cancel()
	var in io.Reader = http.NoBody
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		in = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, in)
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// submit hands a job in, with retries under the same ID as the pages allow, and reports whether it was accepted.
func (c *client) submit(addresses []string, id string, j job) bool {
	for n := range 8 {
		status := c.post(addresses[n%len(addresses)], id, j)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// finalState asks any of the entries for the state of a job until it is final, or the limit is reached.
func (c *client) finalState(addresses []string, id string, limit time.Duration) string {
	state := "no answer"
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end) && c.s.ctx.Err() == nil; n++ {
		status, body := c.send(addresses[n%len(addresses)], http.MethodGet, prefix+id, nil)
		var v struct {
			State string `json:"state"`
		}
		if status != 0 {
			state = fmt.Sprint(status)
		}
		if status == http.StatusOK && json.Unmarshal(body, &v) == nil {
			if state = v.State; state == "done" || state == "failed" || state == "cancelled" {
				return state
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return state
}
