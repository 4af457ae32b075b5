package resource_test

import (
	"encoding/json"
	"errors"
	"testing"

	"medlarpond.dev/core/models/resource"
)

// FuzzResource checks that any JSON is either rejected with a typed error or decoded to a resource that does not change
// when it is encoded and decoded again, and that Validate returns nil or an ErrInvalid.
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
			t.Fatalf("cannot decode the encoded resource %s: %v", encoded, err)
		}
		if reencoded, _ := json.Marshal(again); string(reencoded) != string(encoded) {
			t.Errorf("encoding again: got %s, want %s", reencoded, encoded)
		}
		var invalid *resource.ErrInvalid
		if err := resource.Validate(resource.NewSnapshot(), r); err != nil && !errors.As(err, &invalid) {
			t.Errorf("Validate: got %T %v, want *resource.ErrInvalid", err, err)
		}
	})
}

// checkTyped fails if a decoding error of well-formed JSON has no type of this package.
func checkTyped(t *testing.T, data []byte, err error) {
	t.Helper()
	var malformed *resource.ErrMalformed
	var kind *resource.ErrKindNotExist
	if json.Valid(data) && !errors.As(err, &malformed) && !errors.As(err, &kind) {
		t.Errorf("decoding: got %T %v, want *resource.ErrMalformed or *resource.ErrKindNotExist", err, err)
	}
}
