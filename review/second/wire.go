package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"
)

// The names and messages of the platform, which only platform/ and deploy/ may spell in code.
var (
	//go:embed wire/names.json
	namesFile []byte
	//go:embed wire/desired-state.json
	desiredStateFile string
	//go:embed wire/server.json
	serverFile string

	names = readNames()
)

func readNames() map[string]string {
	n := map[string]string{}
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}

// desiredState returns a desired state like that of the page, with one service, one idempotent route and one tenant. A rate of zero
// sets no limit for the tenant.
func desiredState(timeoutS, rate float64) json.RawMessage {
	return json.RawMessage(strings.NewReplacer("TIMEOUT", fmt.Sprint(timeoutS), "RATE", fmt.Sprint(rate)).Replace(desiredStateFile))
}

// The key of the tenant, and the host of the desired state.
const (
	apiKey = "b9wu3fexd9dnn2ctnfzs"
	host   = "ficu95.example"
)

// requestHead returns the head of a GET request. object is the affinity key; empty for none.
func requestHead(target, id string, deadlineMs int, object string) string {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", target, host, names["id"], id,
		names["deadline"], deadlineMs, apiKey)
	if object != "" {
		head += fmt.Sprintf("Cookie: %s=%s\r\n", names["object"], object)
	}
	return head + "\r\n"
}
