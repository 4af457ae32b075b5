package main

import (
	_ "embed"
	"encoding/json"
	"strconv"
	"strings"
)

// The names of the platform are data, as only the module platform may contain them.
var (
	//go:embed wire/names.json
	namesJSON []byte
	//go:embed wire/intent.json
	intentJSON string
	//go:embed wire/server.json
	serverJSON string
)

// names holds the names of the platform.
var names = func() (n struct {
	SettingsVariable string
	// LeaseSeconds is the field that holds the time for which a lease is valid.
	LeaseSeconds string
	Headers      struct{ RequestID, TimeLeft, Expected, Seal, NotRun string }
	Paths        struct{ Range, Watch, Transaction, CreateLease, RenewLease, EndLease, Ready string }
	Keys         struct{ Intent, Servers string }
}) {
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}()

// serverEntry returns what an upstream writes about itself to the store.
func serverEntry(address, zone string, bornMillis int64) string {
	return strings.NewReplacer("ADDRESS", address, "ZONE", zone, "BORN", strconv.FormatInt(bornMillis, 10)).Replace(serverJSON)
}
