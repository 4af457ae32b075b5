package api_test

import (
	"encoding/json"
	"os"
	"testing"

	"medlarpond.dev/mpctl/api"
)

// FuzzDecodeResources checks that any file is rejected or decoded into resources that can be encoded as JSON.
func FuzzDecodeResources(f *testing.F) {
	example, err := os.ReadFile("../../examples/trial.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte("kind: team\nname: a\nspec: {rate: 1, burst: 1, weight: 1}\n---\n# empty\n---\nkind: region\nspec: {capacity: 1}\n"))
	f.Add([]byte("{? [a] : b}"))
	f.Add([]byte("kind: team\nspec: {rate: .nan}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		resources, err := api.DecodeResources(content)
		if err != nil {
			return
		}
		for _, r := range resources {
			if _, err := json.Marshal(r); err != nil {
				t.Errorf("json.Marshal(%+v): %v", r, err)
			}
		}
	})
}
