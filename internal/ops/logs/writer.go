package logs

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/queue"
)

const (
	ringLines  = 8192                   // lines that wait at most
	batchBytes = 32 << 10               // written together at most
	gather     = 100 * time.Millisecond // for which lines are gathered before a write
)

// Writer is a zapcore.WriteSyncer that writes lines in the background.
type Writer struct {
	out     io.Writer
	lines   *queue.Ring[[]byte]
	dropped atomic.Uint64
	sync    chan chan struct{}
}

// NewWriter starts writing to out; it goes on until the process ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: queue.NewRing[[]byte](ringLines), sync: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.TryPut(bytes.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found the ring full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error {
	w.Flush()
	return nil
}

// Flush returns when the lines queued before have been written.
func (w *Writer) Flush() {
	done := make(chan struct{})
	w.sync <- done
	<-done
}

func (w *Writer) run() {
	var batch bytes.Buffer
	for {
		select {
		case line := <-w.lines.Items():
			batch.Write(line)
			time.Sleep(gather)
			w.flush(&batch)
		case done := <-w.sync:
			w.flush(&batch)
			close(done)
		}
	}
}

// flush writes all lines that wait.
func (w *Writer) flush(batch *bytes.Buffer) {
	for {
		line, ok := w.lines.TryTake()
		if ok {
			batch.Write(line)
		}
		if batch.Len() > 0 && (!ok || batch.Len() >= batchBytes) {
			if _, err := w.out.Write(batch.Bytes()); err != nil {
				w.dropped.Add(uint64(bytes.Count(batch.Bytes(), []byte{'\n'})))
			}
			batch.Reset()
		}
		if !ok {
			return
		}
	}
}
