package wire_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Guards against fields that are lost or reordered between Pack and Decode.
func TestRoundTrip(t *testing.T) {
	want := &wire.StartTask{
		Partition: ident.Partition{Zone: "agadir", Number: 3},
		Epoch:     7,
		Task:      ident.Task{Job: "plan", Index: 12},
		Attempt:   2,
		Size:      sizes.Resources{Processors: 500, Memory: 1 << 30},
		Until:     -5,
	}
	b, err := wire.Pack(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := wire.Decode(wire.KindStartTask, b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(wire.Message(want), got); diff != "" {
		t.Errorf("decoded message differs (-want +got):\n%s", diff)
	}
}

// Guards against a panic on bytes that encode no message, and against decoding them as a zero message without an error.
func TestDecodeRefusesMalformed(t *testing.T) {
	if _, err := wire.Decode(200, nil); err == nil {
		t.Error("unknown kind was accepted")
	}
	if _, err := wire.Decode(wire.KindStartTask, []byte{0xc1, 0xff}); err == nil {
		t.Error("malformed bytes were accepted")
	}
}
