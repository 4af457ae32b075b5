package resource_test

import (
	"encoding/json"
	"errors"
	"testing"

	"medlarpond.dev/core/models/resource"
)

// FuzzResource checks that a resource is refused with a typed error or survives encoding, and that its validation ends.
func FuzzResource(f *testing.F) {
	for _, seed := range []string{
		`{"kind":"team","name":"a","spec":{"rate":1,"burst":1,"weight":1}}`,
		`{"kind":"service","name":"a","version":3,"spec":{"request-timeout":"1s","max-body-bytes":1,"shedding":{"status":503,"header":"x"}}}`,
		`{"kind":"client-block","name":"a","spec":{"prefix":"192.0.2.0/24","failure-domain":"x"}}`,
		`{"kind":"key","name":"a","spec":{"team":"t","hash":"00"}}`,
		`{"kind":"target","name":"a","spec":{"service":"s","address":"[::1]:1","slots":1,"connections":1}}`,
		`{"kind":"route","spec":null}`, `null`, `{"kind":"shift","spec":[]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r resource.Resource
		if err := json.Unmarshal(data, &r); err != nil {
			checkTyped(t, data, err)
			return
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var again resource.Resource
		if err := json.Unmarshal(encoded, &again); err != nil {
			t.Fatalf("%s does not decode again: %v", encoded, err)
		}
		if twice, _ := json.Marshal(again); string(twice) != string(encoded) {
			t.Errorf("%s became %s", encoded, twice)
		}
		var invalid *resource.ErrInvalid
		if err := resource.Validate(resource.NewSnapshot(), r); err != nil && !errors.As(err, &invalid) {
			t.Errorf("got %T %v", err, err)
		}
	})
}

func checkTyped(t *testing.T, data []byte, err error) {
	t.Helper()
	var malformed *resource.ErrMalformed
	var kind *resource.ErrKindNotExist
	if json.Valid(data) && !errors.As(err, &malformed) && !errors.As(err, &kind) {
		t.Errorf("got %T %v", err, err)
	}
}
