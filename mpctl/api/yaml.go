package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	yaml "github.com/goccy/go-yaml"

	"medlarpond.dev/core/models/resource"
)

// DecodeResources decodes resources from YAML documents. Empty documents are skipped.
func DecodeResources(content []byte) ([]resource.Resource, error) {
	var resources []resource.Resource
	d := yaml.NewDecoder(bytes.NewReader(content))
	for {
		var document any
		err := d.Decode(&document)
		if errors.Is(err, io.EOF) {
			return resources, nil
		}
		if err != nil {
			return nil, err
		}
		if document == nil {
			continue
		}
		r, err := ConvertDocument(document)
		if err != nil {
			return nil, fmt.Errorf("document %d: %w", len(resources)+1, err)
		}
		resources = append(resources, r)
	}
}

// EditSpec returns a copy of a resource whose spec was changed by a function.
func EditSpec(r resource.Resource, change func(map[string]any) error) (resource.Resource, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return resource.Resource{}, err
	}
	var document map[string]any
	if err := json.Unmarshal(encoded, &document); err != nil {
		return resource.Resource{}, err
	}
	spec, _ := document["spec"].(map[string]any)
	if err := change(spec); err != nil {
		return resource.Resource{}, err
	}
	return ConvertDocument(document)
}

// ConvertDocument converts a decoded YAML document into a resource.
func ConvertDocument(document any) (resource.Resource, error) {
	encoded, err := json.Marshal(document)
	if err != nil {
		return resource.Resource{}, err
	}
	var r resource.Resource
	err = json.Unmarshal(encoded, &r)
	return r, err
}
