package main

import (
	_ "embed" // for the files with the platform's names
	"encoding/json"
)

// manifest is the operator's manifest, and entryFormat the format of a target's entry.
var (
	//go:embed manifest.json
	manifest []byte
	//go:embed entry.txt
	entryFormat string
	//go:embed wire.json
	wireFile []byte
)

// wire holds names of the platform's protocol.
var wire = func() (names struct {
	Object, Expected               string // headers
	Running, Completed, RolledBack string // states of a rollout
}) {
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}()
