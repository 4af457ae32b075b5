// Package resource defines the resources that operators configure, their validation, and immutable snapshots of all
// resources with the lookups that serving requests needs.
package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Kind names a type of resource.
type Kind string

// The kinds of resource.
const (
	KindRegion        Kind = "region"
	KindFailureDomain Kind = "failure-domain"
	KindLink          Kind = "link"
	KindService       Kind = "service"
	KindTarget        Kind = "target"
	KindTeam          Kind = "team"
	KindKey           Kind = "key"
	KindRoute         Kind = "route"
	KindShift         Kind = "shift"
	KindClientBlock   Kind = "client-block"
)

// Kinds lists all kinds, each after the kinds that it refers to; a file of resources is best applied in this order.
func Kinds() []Kind {
	return []Kind{
		KindRegion, KindFailureDomain, KindLink, KindService, KindTarget,
		KindTeam, KindKey, KindRoute, KindShift, KindClientBlock,
	}
}

// Resource is a configuration object that operators create, update and delete.
type Resource struct {
	// Kind is one of Kinds.
	Kind Kind
	// Name is unique within its kind and in kebab case.
	Name string
	// Version is the revision of the last change to this resource; zero until the first change is accepted.
	Version uint64
	// Spec has the type that belongs to Kind, such as Team for KindTeam.
	Spec any
}

// WithVersion returns a copy with the given version.
func (r Resource) WithVersion(v uint64) Resource {
	r.Version = v
	return r
}

type wireResource struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// MarshalJSON implements json.Marshaler.
func (r Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(r.Spec)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return json.Marshal(wireResource{Kind: r.Kind, Name: r.Name, Version: r.Version, Spec: spec})
}

// UnmarshalJSON implements json.Unmarshaler and rejects unknown kinds and unknown fields.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var w wireResource
	if err := strictDecode(data, &w); err != nil {
		return err
	}
	spec, err := decodeSpec(w.Kind, w.Spec)
	if err != nil {
		return err
	}
	*r = Resource{Kind: w.Kind, Name: w.Name, Version: w.Version, Spec: spec}
	return nil
}

func strictDecode(data []byte, destination any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(destination); err != nil {
		return &ErrMalformed{Cause: err.Error()}
	}
	return nil
}

func decodeSpec(kind Kind, data json.RawMessage) (any, error) {
	decode, ok := specDecoders[kind]
	if !ok {
		return nil, &ErrKindNotExist{Kind: kind}
	}
	if len(data) == 0 {
		return nil, &ErrMalformed{Cause: "spec is missing"}
	}
	return decode(data)
}

func decodeInto[T any](data json.RawMessage) (any, error) {
	var spec T
	if err := strictDecode(data, &spec); err != nil {
		return nil, err
	}
	return spec, nil
}

var specDecoders = map[Kind]func(json.RawMessage) (any, error){
	KindRegion:        decodeInto[Region],
	KindFailureDomain: decodeInto[FailureDomain],
	KindLink:          decodeInto[Link],
	KindService:       decodeInto[Service],
	KindTarget:        decodeInto[Target],
	KindTeam:          decodeInto[Team],
	KindKey:           decodeInto[Key],
	KindRoute:         decodeInto[Route],
	KindShift:         decodeInto[Shift],
	KindClientBlock:   decodeInto[ClientBlock],
}

// Duration is a duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &ErrMalformed{Cause: fmt.Sprintf("%q is not a time span such as 1.5s", text)}
	}
	*d = Duration(v)
	return nil
}
