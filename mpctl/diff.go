package main

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"

	"medlarpond.dev/core/models/resource"
)

// The actions of a planned change.
const (
	planCreate    = "create"
	planUpdate    = "update"
	planUnchanged = "unchanged"
)

// plannedChange is the change that applying one document would make.
type plannedChange struct {
	Action string        `json:"action"`
	Kind   resource.Kind `json:"kind"`
	Name   string        `json:"name"`
	// Version is the current version; zero if the resource does not exist.
	Version uint64       `json:"version,omitempty"`
	Fields  []difference `json:"fields,omitempty"`
}

// difference is a field whose value changes; nil stands for a missing field.
type difference struct {
	Field  string `json:"field"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

// planChange compares a document with the current resource, if there is one.
func planChange(current resource.Resource, exists bool, desired resource.Resource) plannedChange {
	p := plannedChange{Action: planCreate, Kind: desired.Kind, Name: desired.Name}
	before := map[string]any{}
	if exists {
		p.Action, p.Version = planUpdate, current.Version
		flatten("", specFields(current), before)
	}
	after := map[string]any{}
	flatten("", specFields(desired), after)
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

func specFields(r resource.Resource) map[string]any {
	encoded, _ := json.Marshal(r.Spec)
	var fields map[string]any
	_ = json.Unmarshal(encoded, &fields)
	return fields
}

// flatten adds fields to a flat map, nested ones under dotted names.
func flatten(prefix string, fields, into map[string]any) {
	for name, value := range fields {
		if nested, ok := value.(map[string]any); ok {
			flatten(prefix+name+".", nested, into)
			continue
		}
		into[prefix+name] = value
	}
}

func (p plannedChange) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s %s %s", p.Action, p.Kind, p.Name)
	if p.Version != 0 {
		_, _ = fmt.Fprintf(w, " (version %d)", p.Version)
	}
	_, _ = fmt.Fprintln(w)
	for _, d := range p.Fields {
		switch {
		case d.Before == nil:
			_, _ = fmt.Fprintf(w, "  + %s: %s\n", d.Field, formatJSON(d.After))
		case d.After == nil:
			_, _ = fmt.Fprintf(w, "  - %s: %s\n", d.Field, formatJSON(d.Before))
		default:
			_, _ = fmt.Fprintf(w, "  ~ %s: %s -> %s\n", d.Field, formatJSON(d.Before), formatJSON(d.After))
		}
	}
}

func formatJSON(value any) string {
	encoded, _ := json.Marshal(value)
	return string(encoded)
}
