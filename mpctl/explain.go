package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxLogLine is the largest size of a log line in bytes.
const maxLogLine = 1 << 20

type explainCommand struct {
	program   *program
	Arguments struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute prints the log entries of one request in order of time.
func (c *explainCommand) Execute([]string) error {
	lines, err := readLogs(c.Arguments.Files, c.Arguments.Request)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log entry has the request ID %q", c.Arguments.Request)
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	return nil
}

// readLogs returns the formatted log entries of a request, sorted by time. Without files it reads standard input.
func readLogs(files []string, request string) ([]string, error) {
	if len(files) == 0 {
		return explain(os.Stdin, request)
	}
	var combined bytes.Buffer
	for _, name := range files {
		fileContent, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		combined.Write(fileContent)
		combined.WriteByte('\n')
	}
	return explain(&combined, request)
}

// explain reads log lines, which may have a prefix before the JSON object, and returns the formatted entries of a request,
// sorted by time. It skips lines that are not valid JSON.
func explain(r io.Reader, request string) ([]string, error) {
	type entry struct{ time, text string }
	var entries []entry
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 || !bytes.Contains(scanner.Bytes(), []byte(request)) {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil || fields["request"] != request {
			continue
		}
		timestamp, _ := fields["time"].(string)
		entries = append(entries, entry{time: timestamp, text: formatEntry(fields)})
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Join(errors.New("cannot read the log"), err)
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return strings.Compare(a.time, b.time) })
	texts := make([]string, 0, len(entries))
	for _, e := range entries {
		texts = append(texts, e.text)
	}
	return texts, nil
}

// formatEntry formats the fields of a log entry, the most important ones first, the rest by name.
func formatEntry(fields map[string]any) string {
	leading := []string{"time", "instance", "message", "outcome", "reason", "status", "not-run", "target", "took", "expected"}
	var b strings.Builder
	for _, name := range leading {
		if value, ok := fields[name]; ok {
			writeField(&b, name, value)
		}
	}
	var rest []string
	for name := range fields {
		if !slices.Contains(leading, name) && name != "level" && name != "request" {
			rest = append(rest, name)
		}
	}
	slices.Sort(rest)
	for _, name := range rest {
		writeField(&b, name, fields[name])
	}
	return b.String()
}

func writeField(b *strings.Builder, name string, value any) {
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	switch name {
	case "time", "instance", "message":
		fmt.Fprintf(b, "%v", value)
	default:
		fmt.Fprintf(b, "%s=%v", name, value)
	}
}
