package locate

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
)

// Size of the environment that the system is designed for.
const (
	designBlocks = 1_100_000
	designSites  = 1_100
	// designMemory is a daemon's memory limit for control data, in bytes.
	designMemory = 256 << 20
)

func TestLocate(t *testing.T) {
	table := New([]Change{
		{Block: netip.MustParsePrefix("10.0.0.0/8"), Site: 1},
		{Block: netip.MustParsePrefix("10.1.0.0/16"), Site: 2},
		{Block: netip.MustParsePrefix("2001:db8::/32"), Site: 3},
	})
	tests := []struct {
		desc string
		addr string
		want Site
		ok   bool
	}{
		{"short block", "10.2.0.1", 1, true},
		{"longest block wins", "10.1.2.3", 2, true},
		{"IPv6", "2001:db8::1", 3, true},
		{"IPv4-mapped IPv6", "::ffff:10.1.2.3", 2, true},
		{"no block", "192.0.2.1", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got, ok := table.Locate(netip.MustParseAddr(tt.addr))
			if got != tt.want || ok != tt.ok {
				t.Errorf("Locate(%s) = %d, %v, want %d, %v", tt.addr, got, ok, tt.want, tt.ok)
			}
		})
	}
}

func TestApplyLeavesTheOldTable(t *testing.T) {
	block := netip.MustParsePrefix("10.0.0.0/8")
	old := New([]Change{{Block: block, Site: 1}})
	moved := old.Apply([]Change{{Block: block, Site: 2}})
	removed := moved.Apply([]Change{{Block: block, Remove: true}})
	addr := netip.MustParseAddr("10.0.0.1")
	if site, _ := old.Locate(addr); site != 1 {
		t.Errorf("old table gives site %d, want 1", site)
	}
	if site, _ := moved.Locate(addr); site != 2 {
		t.Errorf("moved table gives site %d, want 2", site)
	}
	if _, ok := removed.Locate(addr); ok || removed.Len() != 0 {
		t.Errorf("the removed block is still in the table")
	}
	var zero Table
	if _, ok := zero.Apply(nil).Locate(addr); ok {
		t.Errorf("the empty table returns a site")
	}
}

// randomBlocks returns n distinct blocks: one in ten is an IPv6 block of 48
// bits, the others are IPv4 blocks, most of 24 bits and some shorter.
func randomBlocks(n int) []Change {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := make(map[netip.Prefix]bool, n)
	changes := make([]Change, 0, n)
	for len(changes) < n {
		block := randomBlock(rng)
		if seen[block] {
			continue
		}
		seen[block] = true
		changes = append(changes, Change{Block: block, Site: Site(rng.IntN(designSites))})
	}
	return changes
}

func randomBlock(rng *rand.Rand) netip.Prefix {
	if rng.IntN(10) == 0 {
		var a [16]byte
		binary.BigEndian.PutUint64(a[:], 0x2001<<48|rng.Uint64()>>16)
		return netip.PrefixFrom(netip.AddrFrom16(a), 48).Masked()
	}
	bits := 24
	if rng.IntN(4) == 0 {
		bits = 16 + rng.IntN(8)
	}
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], rng.Uint32())
	return netip.PrefixFrom(netip.AddrFrom4(a), bits).Masked()
}

// heapOf returns the result of build and the heap memory that it takes, in
// bytes.
func heapOf(build func() *Table) (*Table, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return table, after.HeapAlloc - before.HeapAlloc
}

// TestDesignSizeFitsMemory builds a table of the design size and checks its
// memory.
func TestDesignSizeFitsMemory(t *testing.T) {
	changes := randomBlocks(designBlocks)
	table, heap := heapOf(func() *Table { return New(changes) })
	if table.Len() != designBlocks {
		t.Fatalf("table has %d blocks, want %d", table.Len(), designBlocks)
	}
	if heap > designMemory {
		t.Errorf("%d blocks take %d bytes, want at most %d", designBlocks, heap, designMemory)
	}
	t.Logf("%d blocks: %d bytes", designBlocks, heap)
	runtime.KeepAlive(changes)
}

func TestLocateAllocatesNothing(t *testing.T) {
	table := New(randomBlocks(1000))
	addr := netip.MustParseAddr("10.0.0.1")
	if n := testing.AllocsPerRun(100, func() { table.Locate(addr) }); n != 0 {
		t.Errorf("Locate allocates %v times", n)
	}
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range []int{137_500, 275_000, 550_000, designBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) { run(b, n) })
	}
}

func BenchmarkLocate(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n int) {
		changes := randomBlocks(n)
		table, heap := heapOf(func() *Table { return New(changes) })
		rng := rand.New(rand.NewPCG(2, 2))
		addrs := make([]netip.Addr, 1<<16)
		for i := range addrs {
			addrs[i] = changes[rng.IntN(n)].Block.Addr()
		}
		i := 0
		for b.Loop() {
			table.Locate(addrs[i&(len(addrs)-1)])
			i++
		}
		b.ReportMetric(float64(heap)/float64(n), "B/block")
	})
}

func BenchmarkApply(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n int) {
		changes := randomBlocks(n)
		table := New(changes)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			c := changes[i%n]
			c.Site = Site(i % designSites)
			table = table.Apply([]Change{c})
			i++
		}
	})
}
