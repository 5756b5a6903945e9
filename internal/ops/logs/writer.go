package logs

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"

	"trefoilramp.org/trefoilramp/internal/core/queue"
)

const (
	ringLines  = 8192                  // capacity of the queue
	ringBytes  = 4 << 20               // limit of its lines; those of refused requests can be longer than a header
	batchBytes = 4 << 10               // limit of a batch: what a pipe takes whole (PIPE_BUF)
	batchDelay = 20 * time.Millisecond // delay between the first line of a batch and its write
	// messageLines is the largest number of lines of one message a second. A large job has some messages for each of its runs.
	messageLines = 1000
)

// Writer is a zapcore.WriteSyncer that writes lines in the background.
type Writer struct {
	out           io.Writer
	lines         *queue.Ring[[]byte]
	queued        atomic.Int64 // bytes of lines
	dropped       atomic.Uint64
	suppressed    atomic.Uint64
	flushRequests chan chan struct{}
}

// NewWriter returns a Writer whose background goroutine writes to out until the process exits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: queue.NewRing[[]byte](ringLines), flushRequests: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line, or drops it when the queue is full; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	n := int64(len(line))
	if w.queued.Add(n) > ringBytes || !w.lines.TryPut(bytes.Clone(line)) {
		w.queued.Add(-n)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Core returns a core that writes to w, at most messageLines lines of each message a second.
func (w *Writer) Core(enc zapcore.Encoder, level zapcore.LevelEnabler) zapcore.Core {
	count := func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			w.suppressed.Add(1)
		}
	}
	const thereafter = 0 // none
	return zapcore.NewSamplerWithOptions(
		zapcore.NewCore(enc, w, level), time.Second, messageLines, thereafter, zapcore.SamplerHook(count),
	)
}

// Suppressed returns the number of lines beyond messageLines.
func (w *Writer) Suppressed() uint64 { return w.suppressed.Load() }

// Dropped returns the number of lines lost because the queue was full or a write to the output failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Sync implements zapcore.WriteSyncer; it flushes and never fails.
func (w *Writer) Sync() error {
	w.Flush()
	return nil
}

// Flush writes the queued lines and returns when they are written.
func (w *Writer) Flush() {
	done := make(chan struct{})
	w.flushRequests <- done
	<-done
}

func (w *Writer) run() {
	var batch bytes.Buffer
	for {
		select {
		case line := <-w.lines.Items():
			w.queued.Add(-int64(len(line)))
			batch.Write(line)
			time.Sleep(batchDelay)
			w.flush(&batch)
		case done := <-w.flushRequests:
			w.flush(&batch)
			close(done)
		}
	}
}

// flush writes batch and all queued lines, at most batchBytes at a time unless one line is longer.
func (w *Writer) flush(batch *bytes.Buffer) {
	for {
		line, ok := w.lines.TryTake()
		if batch.Len() > 0 && (!ok || batch.Len()+len(line) > batchBytes) {
			if _, err := w.out.Write(batch.Bytes()); err != nil {
				w.dropped.Add(uint64(bytes.Count(batch.Bytes(), []byte{'\n'})))
			}
			batch.Reset()
		}
		if !ok {
			return
		}
		w.queued.Add(-int64(len(line)))
		batch.Write(line)
	}
}
