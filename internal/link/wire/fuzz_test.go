package wire_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Guards against received bytes that make decoding panic or allocate far more memory than their length, and against
// messages that change when they are encoded again.
func FuzzDecode(f *testing.F) {
	f.Add(uint8(wire.KindInventory), []byte{0x93, 0xc0, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff}) // 4 billion elements
	f.Add(uint8(wire.KindVerdict), []byte{0x94, 0xc3, 0x01, 0xdb, 0xff, 0xff, 0xff, 0xff})   // a string of 4 GB
	f.Add(uint8(wire.KindTrailers), []byte{0x91, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, k uint8, b []byte) {
		m, err := wire.Decode(wire.Kind(k), b)
		if err != nil {
			return
		}
		packed, err := wire.Pack(m)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := wire.Decode(m.Kind(), packed)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, decoded); diff != "" {
			t.Error(diff)
		}
	})
}
