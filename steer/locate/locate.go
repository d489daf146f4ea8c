// Package locate maps callers' addresses to the sites that serve them, by
// longest-prefix match over address blocks.
//
// A Table is immutable. A change returns a new table that shares all but the
// changed paths with the old one, so lookups need no lock, and the cost of a
// change does not depend on the size of the table. The tree is the multibit
// trie of gaissmai/bart, based on ART by Y. Tzeng and D. Knuth.
package locate

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// Site is the index of a site in the configuration.
type Site uint16

// Change adds, replaces or removes one block.
type Change struct {
	// Block is the changed address block.
	Block netip.Prefix
	// Site is the site that serves the block. It is ignored when Remove is
	// set.
	Site Site
	// Remove removes the block.
	Remove bool
}

// Table maps addresses to sites. It is safe for concurrent use. The zero value
// is an empty table.
type Table struct {
	blocks *bart.Table[Site]
}

// New returns a table with the given changes applied in order.
func New(changes []Change) *Table {
	blocks := &bart.Table[Site]{}
	for _, c := range changes {
		if c.Remove {
			blocks.Delete(c.Block)
			continue
		}
		blocks.Insert(c.Block, c.Site)
	}
	return &Table{blocks: blocks}
}

// Locate returns the site of the longest block that contains addr; ok is false
// when no block does.
func (t *Table) Locate(addr netip.Addr) (site Site, ok bool) {
	if t.blocks == nil {
		return 0, false
	}
	return t.blocks.Lookup(addr.Unmap())
}

// Len returns the number of blocks.
func (t *Table) Len() int {
	if t.blocks == nil {
		return 0
	}
	return t.blocks.Size()
}

// Apply returns a new table with the changes applied in order. t is unchanged.
func (t *Table) Apply(changes []Change) *Table {
	blocks := t.blocks
	if blocks == nil {
		blocks = &bart.Table[Site]{}
	}
	for _, c := range changes {
		if c.Remove {
			blocks = blocks.DeletePersist(c.Block)
			continue
		}
		blocks = blocks.InsertPersist(c.Block, c.Site)
	}
	return &Table{blocks: blocks}
}
