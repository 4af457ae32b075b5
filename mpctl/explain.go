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

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

type explainCommand struct {
	program   *program
	Arguments struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute prints what the logs of instances say of one request.
func (c *explainCommand) Execute([]string) error {
	lines, err := readLogs(c.Arguments.Files, c.Arguments.Request)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("the logs do not mention request %q", c.Arguments.Request)
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	return nil
}

// readLogs returns the lines about a request in files, or in standard input if there are none, in the order of time.
func readLogs(files []string, request string) ([]string, error) {
	if len(files) == 0 {
		return explain(os.Stdin, request)
	}
	var all bytes.Buffer
	for _, name := range files {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		all.Write(content)
		all.WriteByte('\n')
	}
	return explain(&all, request)
}

// explain reads log lines, which may have a prefix before the JSON, and returns those about a request, written for people.
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
		at, _ := fields["time"].(string)
		entries = append(entries, entry{time: at, text: describe(fields)})
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

// describe writes a line's fields with what decided first.
func describe(fields map[string]any) string {
	first := []string{"time", "instance", "message", "outcome", "reason", "status", "not-run", "target", "took", "expected"}
	var b strings.Builder
	for _, name := range first {
		if value, ok := fields[name]; ok {
			writeField(&b, name, value)
		}
	}
	var rest []string
	for name := range fields {
		if !slices.Contains(first, name) && name != "level" && name != "request" {
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
