package logs_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilramp.org/trefoilramp/internal/ops/logs"
)

// output is a log output that blocks every write until release is closed.
type output struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	release chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// Guards against a process that stalls because its log output blocks, and lines that are dropped without being counted.
func TestWriterNeverBlocks(t *testing.T) {
	o := &output{release: make(chan struct{})}
	w := logs.NewWriter(o)
	began := time.Now()
	const lines = 20_000
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	close(o.release)
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	written := uint64(bytes.Count(o.buf.Bytes(), []byte("line\n")))
	if written == 0 || w.Dropped() == 0 || written+w.Dropped() != lines {
		t.Errorf("%d lines written, %d dropped of %d", written, w.Dropped(), lines)
	}
}

// Load: lines of 64 KiB while the output blocks. Guards against a queue whose memory clients determine by what they make a
// process log, 512 MiB of such lines.
func TestQueueIsBoundedInBytes(t *testing.T) {
	o := &output{release: make(chan struct{})}
	w := logs.NewWriter(o)
	line := append(bytes.Repeat([]byte("x"), 64<<10), '\n')
	for range 200 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if n := w.Dropped(); n < 100 {
		t.Errorf("%d lines dropped; want at least 100, so that at most 6.25 MiB are queued", n)
	}
	close(o.release)
	w.Flush()
}

// sizes records the size of each write.
type sizes struct {
	mu      sync.Mutex
	largest int
}

func (s *sizes) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largest = max(s.largest, len(p))
	return len(p), nil
}

// Load: the lines of a leader for 20,000 runs. Guards against log lines whose number a second grows with the runs of a job, and
// against a message that is lost beside them.
func TestLinesOfMessageHaveBound(t *testing.T) {
	const lines, perSecond = 20_000, 1000
	o := &output{release: make(chan struct{})}
	close(o.release)
	w := logs.NewWriter(o)
	log := zap.New(w.Core(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.InfoLevel))
	began := time.Now()
	for range lines {
		log.Info("run ordered")
	}
	log.Info("job ended")
	w.Flush()
	seconds := 2 + int(time.Since(began).Seconds()) // in which lines were counted
	o.mu.Lock()
	defer o.mu.Unlock()
	n := bytes.Count(o.buf.Bytes(), []byte("run ordered"))
	if n > seconds*perSecond || uint64(lines-n) != w.Suppressed()+w.Dropped() || !bytes.Contains(o.buf.Bytes(), []byte("job ended")) {
		t.Errorf("%d of %d lines written in %d s, %d suppressed, %d dropped; want at most %d a second, and the other message",
			n, lines, seconds, w.Suppressed(), w.Dropped(), perSecond)
	}
}

// Guards against lines that are lost in part at a pipe whose reader takes 4 KiB at a time, while a leader logs thousands
// of starts a second.
func TestWritesFitPipe(t *testing.T) {
	o := &sizes{}
	w := logs.NewWriter(o)
	line := bytes.Repeat([]byte("x"), 280)
	for range 2000 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	w.Flush()
	const pipeBuffer = 4096 // bytes
	if o.largest > pipeBuffer || w.Dropped() > 0 {
		t.Errorf("largest write %d bytes, %d lines dropped; want at most %d bytes and none", o.largest, w.Dropped(), pipeBuffer)
	}
}
