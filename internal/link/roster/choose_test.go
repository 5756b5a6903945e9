package roster_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const partitions = 80

// owners assigns all partitions of one zone to n entries, by rendezvous hashing or by hash modulo n.
func owners(n int, modulo bool) (list [partitions]ident.Entry) {
	r := roster.New()
	var entries []wire.EntryInfo
	for i := range n {
		entries = append(entries, wire.EntryInfo{Name: ident.Entry(fmt.Sprintf("entry-%03d", i)), Zone: "konya"})
	}
	r.Update("test", wire.Roster{Entries: entries})
	for i := range list {
		p := ident.Partition{Zone: "konya", Number: uint16(i)}
		if modulo {
			list[i] = entries[xxhash.Sum64String(p.String())%uint64(n)].Name
		} else {
			e, _ := r.Owner(p)
			list[i] = e.Name
		}
	}
	return list
}

// Guards against a choice of owners that moves partitions between remaining entries; each move costs a takeover.
// With -v it prints how many of 80 partitions move when one entry joins n entries; a leave moves the same ones back.
func TestRendezvousMovesFewPartitions(t *testing.T) {
	t.Log("entries  rendezvous  modulo  ideal  most on one entry")
	for _, n := range []int{2, 3, 4, 6, 8, 12, 20, 40, 80, 119} {
		var moved [2]int
		counts := make(map[ident.Entry]int)
		most := 0
		for i, modulo := range []bool{false, true} {
			before, after := owners(n, modulo), owners(n+1, modulo)
			joined := ident.Entry(fmt.Sprintf("entry-%03d", n))
			for p := range before {
				if before[p] != after[p] {
					moved[i]++
					if !modulo && after[p] != joined {
						t.Errorf("partition %d moved from %s to %s when %s joined %d entries", p, before[p], after[p], joined, n)
					}
				}
				if !modulo {
					counts[before[p]]++
					most = max(most, counts[before[p]])
				}
			}
		}
		t.Logf("%7d  %10d  %6d  %5.1f  %17d", n, moved[0], moved[1], float64(partitions)/float64(n+1), most)
	}
}
