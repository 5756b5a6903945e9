package frame_test

import (
	"bytes"
	"testing"

	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Guards against input from a peer that panics the reader, or that decodes to a frame with another encoding.
func FuzzRead(f *testing.F) {
	f.Add(encode(f, frame.Frame{Kind: wire.KindPing, Payload: make([]byte, 8)}))
	f.Add(encode(f, frame.Frame{Kind: wire.KindData, Stream: 1 << 63, Payload: make([]byte, 5000)}, frame.Frame{Kind: wire.KindEnd}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := frame.NewReader(bytes.NewReader(b), frame.MaxPayload)
		for {
			got, err := r.Read()
			if err != nil {
				return
			}
			if encoded := encode(t, got); !bytes.HasPrefix(b, encoded) {
				t.Fatalf("frame %v does not match its bytes", got.Kind)
			} else {
				b = b[len(encoded):]
			}
		}
	})
}
