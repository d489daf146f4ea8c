package document

import (
	"fmt"
	"runtime"
	"testing"
)

// keyedDocument returns the small document with additional keys for one team.
func keyedDocument(b *testing.B, keys int) []byte {
	doc, err := Decode("small.yaml", []byte(readSmall(b)))
	if err != nil {
		b.Fatal(err)
	}
	for i := range keys {
		id := fmt.Sprint("key-", i)
		doc.Teams[0].Keys = append(doc.Teams[0].Keys, Key{ID: id, Digest: KeyDigest(id)})
	}
	content, err := Encode(doc)
	if err != nil {
		b.Fatal(err)
	}
	return content
}

// BenchmarkDecode measures the cost of additional keys for an instance: the
// time to decode and compile, and the memory that stays in use.
func BenchmarkDecode(b *testing.B) {
	for _, keys := range []int{0, 1000, 5000} {
		content := keyedDocument(b, keys)
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			var kept *Index
			before := heapInUse()
			for b.Loop() {
				doc, err := Decode("keyed.yaml", content)
				if err != nil {
					b.Fatal(err)
				}
				kept = Compile(doc)
			}
			b.ReportMetric(float64(heapInUse())-float64(before), "kept-B")
			b.ReportMetric(float64(len(content)), "doc-B")
			runtime.KeepAlive(kept)
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkLookUp(b *testing.B) {
	x := smallIndex(b)
	b.Run("route", func(b *testing.B) {
		for b.Loop() {
			x.Route("GET", "/tracker/mats/7/wash/history")
		}
	})
	b.Run("key", func(b *testing.B) {
		for b.Loop() {
			x.TeamByKey("a-key-of-the-usual-length-0123456789abcdef0123")
		}
	})
}
