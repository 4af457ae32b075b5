package check

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	yaml "github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/mpctl/api"
)

// ErrUnreadable is returned for a file that is not YAML.
type ErrUnreadable struct {
	File string
	Line int
	// Cause is the message of the parser.
	Cause string
}

// Error implements error.
func (e *ErrUnreadable) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Cause) }

// Document is a resource of a file.
type Document struct {
	resource.Resource
	// Line is the line in which the document begins.
	Line int
	body ast.Node
}

// lineOf returns the line of a field, as ErrInvalid names it: a dotted path in the spec, or the name. It is the line of the
// document if the document lacks the field.
func (d Document) lineOf(field string) int {
	for _, path := range []string{"$.spec." + field, "$." + field} {
		if p, err := yaml.PathString(path); err == nil {
			if node, err := p.FilterNode(d.body); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
	}
	return d.Line
}

// parse returns the resources of a file, and findings for documents that are none. Empty documents are skipped.
func parse(file string, content []byte) ([]Document, []Finding, error) {
	tree, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, nil, unreadable(file, err)
	}
	var documents []Document
	var findings []Finding
	for _, node := range tree.Docs {
		if node.Body == nil || node.Body.Type() == ast.NullType {
			continue
		}
		d := Document{Line: firstLine(node.Body), body: node.Body}
		var fields any
		if err := yaml.NodeToValue(node.Body, &fields); err != nil {
			return nil, nil, unreadable(file, err)
		}
		r, err := api.ConvertDocument(fields)
		if err != nil {
			findings = append(findings, malformed(file, d, fields, err)...)
			continue
		}
		d.Resource = r
		documents = append(documents, d)
	}
	return documents, findings, nil
}

func unreadable(file string, err error) error {
	e := &ErrUnreadable{File: file, Line: 1, Cause: string(bytes.TrimSpace([]byte(err.Error())))}
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		e.Line, e.Cause = located.GetToken().Position.Line, located.GetMessage()
	}
	return e
}

// firstLine returns the line in which a node begins. The token of a mapping is that of its first colon.
func firstLine(node ast.Node) int {
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key.GetToken().Position.Line
	}
	return node.GetToken().Position.Line
}

// malformed returns a finding for each field of a document that cannot be decoded. It finds the fields by decoding each by itself, as the
// error of the whole document tells only the first one.
func malformed(file string, d Document, fields any, err error) []Finding {
	whole := Finding{File: file, Line: d.Line, Message: err.Error()}
	document, ok := fields.(map[string]any)
	if !ok {
		whole.Message = "must have the fields kind, name and spec"
		return []Finding{whole}
	}
	kind, _ := document["kind"].(string)
	name, _ := document["name"].(string)
	whole.Kind, whole.Name = resource.Kind(kind), name
	if !slices.Contains(resource.Kinds(), whole.Kind) {
		whole.Field, whole.Line = "kind", d.lineOf("kind")
		return []Finding{whole}
	}
	var findings []Finding
	add := func(field string, trial map[string]any) {
		if _, err := api.ConvertDocument(trial); err != nil {
			f := whole
			f.Field, f.Line, f.Message = field, d.lineOf(field), err.Error()
			findings = append(findings, f)
		}
	}
	for _, field := range sortedNames(document) {
		if field != "kind" && field != "spec" {
			add(field, map[string]any{"kind": kind, "spec": map[string]any{}, field: document[field]})
		}
	}
	if spec, ok := document["spec"].(map[string]any); ok {
		for _, field := range sortedNames(spec) {
			add(field, map[string]any{"kind": kind, "spec": map[string]any{field: spec[field]}})
		}
	}
	if findings == nil {
		whole.Field, whole.Line = "spec", d.lineOf("spec")
		return []Finding{whole}
	}
	return findings
}

func sortedNames(fields map[string]any) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
