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
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
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

// do sends a request to an address and returns the status, 0 without an answer.
func (c *client) do(address, method, id string, body any) int {
	ctx, cancel := context.WithTimeout(c.s.ctx, clientTimeout)
	defer cancel()
	var in io.Reader = http.NoBody
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0
		}
		in = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+prefix+id, in)
	if err != nil {
		return 0
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	resp, err := c.http.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// submit hands a job in, with retries under the same ID as the pages allow, and reports whether it was accepted.
func (c *client) submit(addresses []string, id string, j job) bool {
	for n := range 8 {
		status := c.do(addresses[n%len(addresses)], http.MethodPost, id, j)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
