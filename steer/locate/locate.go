// Package locate maps callers' addresses to the sites that serve them, by
// longest-prefix match over blocks of addresses.
//
// A Table is immutable: a change gives a new table that shares all but the
// changed paths with the old one, so that look-ups need no lock and a change
// costs what it touches and not what the table holds. The tree is the
// multibit trie of gaissmai/bart, after Y. Tzeng's and Knuth's ART.
package locate

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// Site is the index of a site in the configuration.
type Site uint16

// Change is one difference between two tables.
type Change struct {
	// Block is the changed block of addresses.
	Block netip.Prefix
	// Site serves the block. It is ignored when Remove is set.
	Site Site
	// Remove takes the block out.
	Remove bool
}

// Table maps addresses to sites. It is safe for concurrent use. The zero
// value is empty.
type Table struct {
	blocks *bart.Table[Site]
}

// New returns a table with the given changes applied to an empty one.
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

// Locate returns the site of the longest block that holds addr; ok is false
// when none does.
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

// Apply returns a table with the changes made in order; t stays as it is.
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
