package main

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"

	"medlarpond.dev/core/models/resource"
)

// The actions that a plan may contain.
const (
	planCreate    = "create"
	planUpdate    = "update"
	planUnchanged = "unchanged"
)

// planned is what applying one document would do.
type planned struct {
	Action string        `json:"action"`
	Kind   resource.Kind `json:"kind"`
	Name   string        `json:"name"`
	// Version is the one in force; zero for a resource to create.
	Version uint64       `json:"version,omitempty"`
	Fields  []difference `json:"fields,omitempty"`
}

// difference is one field with two values; nil stands for a field that is not there.
type difference struct {
	Field  string `json:"field"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

// plan compares a document with the resource in force, if there is one.
func plan(have resource.Resource, exists bool, want resource.Resource) planned {
	p := planned{Action: planCreate, Kind: want.Kind, Name: want.Name}
	before := map[string]any{}
	if exists {
		p.Action, p.Version = planUpdate, have.Version
		flatten("", fieldsOf(have), before)
	}
	after := map[string]any{}
	flatten("", fieldsOf(want), after)
	p.Fields = differences(before, after)
	if exists && len(p.Fields) == 0 {
		p.Action = planUnchanged
	}
	return p
}

func differences(before, after map[string]any) []difference {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var found []difference
	for name := range names {
		if !reflect.DeepEqual(before[name], after[name]) {
			found = append(found, difference{Field: name, Before: before[name], After: after[name]})
		}
	}
	slices.SortFunc(found, func(a, b difference) int {
		if a.Field < b.Field {
			return -1
		}
		return 1
	})
	return found
}

func fieldsOf(r resource.Resource) map[string]any {
	encoded, _ := json.Marshal(r.Spec)
	var fields map[string]any
	_ = json.Unmarshal(encoded, &fields)
	return fields
}

// flatten writes nested fields under dotted names.
func flatten(prefix string, fields, into map[string]any) {
	for name, value := range fields {
		if nested, ok := value.(map[string]any); ok {
			flatten(prefix+name+".", nested, into)
			continue
		}
		into[prefix+name] = value
	}
}

func (p planned) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s %s %s", p.Action, p.Kind, p.Name)
	if p.Version != 0 {
		_, _ = fmt.Fprintf(w, " (version %d)", p.Version)
	}
	_, _ = fmt.Fprintln(w)
	for _, d := range p.Fields {
		switch {
		case d.Before == nil:
			_, _ = fmt.Fprintf(w, "  + %s: %s\n", d.Field, text(d.After))
		case d.After == nil:
			_, _ = fmt.Fprintf(w, "  - %s: %s\n", d.Field, text(d.Before))
		default:
			_, _ = fmt.Fprintf(w, "  ~ %s: %s -> %s\n", d.Field, text(d.Before), text(d.After))
		}
	}
}

func text(value any) string {
	encoded, _ := json.Marshal(value)
	return string(encoded)
}
