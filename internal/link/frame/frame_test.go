package frame_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

func encode(t testing.TB, frames ...frame.Frame) []byte {
	t.Helper()
	var b []byte
	for _, f := range frames {
		var err error
		if b, err = frame.Append(b, f); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// Guards against frames that differ after Append and Read, for payloads that fit into the read buffer and larger ones.
func TestReadReturnsWhatAppendWrote(t *testing.T) {
	var want []frame.Frame
	for _, n := range []int{0, 1, 4000, 4096, 5000, frame.MaxPayload} {
		want = append(want, frame.Frame{Kind: wire.KindData, Stream: uint64(n) << 32, Payload: bytes.Repeat([]byte{7}, n)})
	}
	r := frame.NewReader(bytes.NewReader(encode(t, want...)), frame.MaxPayload)
	for _, w := range want {
		got, err := r.Read()
		if err != nil {
			t.Fatal(err)
		}
		if got.Kind != w.Kind || got.Stream != w.Stream || !bytes.Equal(got.Payload, w.Payload) {
			t.Errorf("frame of %d bytes differs", len(w.Payload))
		}
	}
	if _, err := r.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last frame: %v, want io.EOF", err)
	}
}

// Guards against accepting damaged, truncated or oversized frames.
func TestReadRejectsDamagedFrames(t *testing.T) {
	valid := encode(t, frame.Frame{Kind: wire.KindData, Stream: 3, Payload: []byte("payload")})
	for i := range valid {
		b := bytes.Clone(valid)
		b[i] ^= 0x10
		if _, err := frame.NewReader(bytes.NewReader(b), frame.MaxPayload).Read(); err == nil {
			t.Errorf("flipped bit in byte %d was accepted", i)
		}
		if i == 0 {
			continue
		}
		if _, err := frame.NewReader(bytes.NewReader(valid[:i]), frame.MaxPayload).Read(); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut after %d bytes: %v, want io.ErrUnexpectedEOF", i, err)
		}
	}
	if _, err := frame.NewReader(bytes.NewReader(valid), 3).Read(); !errors.Is(err, frame.ErrTooLarge) {
		t.Errorf("payload over the limit: %v, want ErrTooLarge", err)
	}
	big := frame.Frame{Kind: wire.KindData, Payload: make([]byte, frame.MaxPayload+1)}
	if _, err := frame.Append(nil, big); !errors.Is(err, frame.ErrTooLarge) {
		t.Errorf("payload over MaxPayload: %v, want ErrTooLarge", err)
	}
}
