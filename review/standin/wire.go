package main

import (
	_ "embed"
	"encoding/json"
)

// The platform's names and formats lie in files of their own: in this repository only the adapter in platform/ spells them
// in code.
var (
	//go:embed wire/names.json
	namesFile []byte
	// desiredStateTemplate has the placeholder VERSION.
	//go:embed wire/desired-state.json
	desiredStateTemplate string
	// upstreamTemplate is the entry of an upstream, with placeholders in capitals.
	//go:embed wire/upstream.json
	upstreamTemplate string

	// wire maps what a name is for to the platform's name.
	wire = readNames()

	headerID       = wire["id"]
	headerDeadline = wire["deadline"]
	headerExpected = wire["expected"]
	headerSeal     = wire["seal"]
	headerNotRun   = wire["notRun"]
	headerLoad     = wire["load"]
	headerInstance = wire["instance"]
	headerTenant   = wire["tenant"]
)

func readNames() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
	return names
}
