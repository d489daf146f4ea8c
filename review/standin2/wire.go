package main

import (
	_ "embed"
	"encoding/json"
)

// wireText holds the names of the platform's wire protocol, an endpoint's entry and a
// manifest like those of its pages.
//
//go:embed wire.json
var wireText []byte

// wire is wireText, decoded.
var wire = decodeWire()

type wireNames struct {
	Headers struct{ Expected, Signature string }
	Paths   struct{ Rows, Changes, Transaction string }
	Fields  struct{ ColdLeft string }

	Entry, Manifest map[string]any
}

// decodeWire returns a copy that may be changed.
func decodeWire() wireNames {
	var w wireNames
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(err) // the file is part of the program
	}
	return w
}

// manifest returns a manifest like that of the page's example.
func manifest() map[string]any { return decodeWire().Manifest }

// entry returns the entry of an endpoint that is ready.
func entry(service, address string, seq int) map[string]any {
	e := decodeWire().Entry
	e["service"], e["address"], e["seq"] = service, address, seq
	return e
}
