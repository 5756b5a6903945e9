package wire_test

import (
	"testing"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// heartbeat returns a typical Heartbeat, the most frequent message on sessions.
func heartbeat() *wire.Heartbeat {
	m := &wire.Heartbeat{Seq: 1000, SentAt: 1 << 50, ConfigVersion: 1234}
	for range 8 {
		m.Targets = append(m.Targets, wire.TargetHint{Target: "booking-agadir-1", InFlight: 3, Queued: 1, MeanRun: 37_000_000})
	}
	return m
}

func BenchmarkPack(b *testing.B) {
	m := heartbeat()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := wire.Pack(m); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	p, err := wire.Pack(heartbeat())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := wire.Decode(wire.KindHeartbeat, p); err != nil {
			b.Fatal(err)
		}
	}
}
