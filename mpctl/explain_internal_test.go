package main

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestExplain(t *testing.T) {
	const log = `
 12.5 front-b {"level":"info","time":"2026-06-07T18:47:12.9Z","message":"request refused","instance":"b","request":"r-1","reason":"overloaded","status":503,"not-run":true,"intent":7}
not a log line about r-1
{"level":"info","time":"2026-06-07T18:47:12.4Z","message":"attempt","instance":"a","request":"r-1","target":"t-9","outcome":"unknown","took":"1.2s","expected":"200ms","cause":"EOF","warm":true}
{"level":"info","time":"2026-06-07T18:47:12.5Z","message":"attempt","instance":"a","request":"r-12","target":"t-1","outcome":"answered"}
{"level":"info","time":"2026-06-07T18:47:12.6Z","message":"broken r-1`
	lines, err := explain(strings.NewReader(log), "r-1")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "explain", []byte(strings.Join(lines, "\n")+"\n"))
}
