package resource

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

const (
	// hashBytes is the length of a SHA-256 hash.
	hashBytes = 32
	// maxNameLength is the largest number of characters in a name.
	maxNameLength = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Validate checks a resource on its own and against the other resources of a snapshot. It returns an ErrInvalid for the
// first invalid field.
func Validate(s Snapshot, r Resource) error {
	v := validator{snapshot: s, resource: r}
	v.require(len(r.Name) <= maxNameLength && namePattern.MatchString(r.Name),
		"name", "use 1 to 63 lower-case letters, digits and hyphens")
	v.validateSpec()
	return v.err
}

// ValidateDelete returns ErrInUse if another resource refers to the one to delete.
func ValidateDelete(s Snapshot, kind Kind, name string) error {
	for _, k := range Kinds() {
		if referrer, ok := firstReferrer(s, k, kind, name); ok {
			return &ErrInUse{Kind: kind, Name: name, By: fmt.Sprintf("%s %q", k, referrer)}
		}
	}
	return nil
}

// firstReferrer returns the first name, in sorted order, among the resources of the referrer kind that refer to the given
// resource.
func firstReferrer(s Snapshot, referrerKind, kind Kind, name string) (string, bool) {
	first, found := "", false
	for referrer, r := range s.byKind[referrerKind].All() {
		refers := slices.ContainsFunc(references(r), func(ref reference) bool { return ref.kind == kind && ref.name == name })
		if refers && (!found || referrer < first) {
			first, found = referrer, true
		}
	}
	return first, found
}

// validator keeps the first error of a resource.
type validator struct {
	snapshot Snapshot
	resource Resource
	err      error
}

// require records an error for the field unless ok is true or an error is recorded already.
func (v *validator) require(ok bool, field, fix string) {
	if ok || v.err != nil {
		return
	}
	v.err = &ErrInvalid{Kind: v.resource.Kind, Name: v.resource.Name, Field: field, Fix: fix}
}

func (v *validator) validateSpec() {
	for _, ref := range references(v.resource) {
		_, ok := v.snapshot.Get(ref.kind, ref.name)
		v.require(ok, ref.field, fmt.Sprintf("%s %q does not exist; create it first", ref.kind, ref.name))
	}
	switch spec := v.resource.Spec.(type) {
	case Region:
		v.require(spec.Capacity > 0, "capacity", "must be positive")
	case FailureDomain:
		v.require(spec.Capacity >= 0, "capacity", "must not be negative")
	case Link:
		v.require(spec.From != spec.To, "to", "must differ from from")
		v.require(spec.BytesPerSecond > 0, "bytes-per-second", "must be positive")
	case Service:
		v.validateService(spec)
	case Target:
		v.validateTarget(spec)
	case Team:
		v.require(spec.Rate > 0, "rate", "must be positive")
		v.require(spec.Burst >= 1, "burst", "must be at least 1")
		v.require(spec.Weight > 0, "weight", "must be positive")
	case Key:
		raw, err := hex.DecodeString(spec.Hash)
		v.require(err == nil && len(raw) == hashBytes && spec.Hash == strings.ToLower(spec.Hash),
			"hash", "must be the lower-case hexadecimal SHA-256 of the key")
		v.require(!v.isHashTaken(spec.Hash), "hash", "is the hash of another key already")
	case Route:
		v.require(strings.HasPrefix(spec.Path, "/"), "path", "must start with /")
	case Shift:
		v.require(spec.From != spec.To, "to", "must differ from from")
		v.require(spec.Cap >= 0, "cap", "must not be negative")
		v.require(spec.Pace >= 0, "pace", "must not be negative")
	case ClientBlock:
		p, err := netip.ParsePrefix(spec.Prefix)
		v.require(err == nil && p == p.Masked(), "prefix", "must be an IP prefix such as 192.0.2.0/24 with no bits past its length")
		owner, taken := v.snapshot.BlockOf(p)
		v.require(!taken || owner == v.resource.Name, "prefix", fmt.Sprintf("is the prefix of client-block %q already", owner))
	default:
		v.require(false, "spec", "does not belong to this kind")
	}
}

func (v *validator) validateService(s Service) {
	v.require(s.RequestTimeout > 0, "request-timeout", "must be positive")
	v.require(s.QueueTimeout >= 0 && s.QueueTimeout < s.RequestTimeout, "queue-timeout", "must be shorter than request-timeout and not negative")
	v.require(s.MaxBodyBytes > 0, "max-body-bytes", "must be positive")
	v.require(s.RequestBytes >= 0, "request-bytes", "must not be negative")
	v.require(s.ColdRamp >= 0, "cold-ramp", "must not be negative")
	v.require(s.ProbePath == "" || strings.HasPrefix(s.ProbePath, "/"), "probe-path", "must start with /")
	if s.Shedding != nil {
		v.require(s.Shedding.Status >= 400 && s.Shedding.Status < 600, "shedding.status", "must be from 400 to 599")
		v.require(s.Shedding.Header != "", "shedding.header", "must name a header")
	}
}

func (v *validator) validateTarget(t Target) {
	_, err := netip.ParseAddrPort(t.Address)
	v.require(err == nil, "address", "must be an IP address and a port")
	v.require(t.Slots > 0, "slots", "must be positive")
	v.require(t.Connections >= t.Slots, "connections", "must be at least slots")
}

func (v *validator) isHashTaken(hash string) bool {
	for _, r := range v.snapshot.byKind[KindKey].All() {
		if r.Name != v.resource.Name && r.Spec.(Key).Hash == hash {
			return true
		}
	}
	return false
}

// reference is a field of a resource that holds the name of another resource.
type reference struct {
	kind  Kind
	name  string
	field string
}

func references(r Resource) []reference {
	switch spec := r.Spec.(type) {
	case FailureDomain:
		return []reference{{KindRegion, spec.Region, "region"}}
	case Link:
		return []reference{{KindRegion, spec.From, "from"}, {KindRegion, spec.To, "to"}}
	case Service:
		return referencesTo(KindRegion, spec.Regions, "regions")
	case Target:
		return []reference{{KindService, spec.Service, "service"}, {KindFailureDomain, spec.FailureDomain, "failure-domain"}}
	case Key:
		return []reference{{KindTeam, spec.Team, "team"}}
	case Route:
		return append(referencesTo(KindTeam, spec.Teams, "teams"), reference{KindService, spec.Service, "service"})
	case Shift:
		return []reference{{KindService, spec.Service, "service"}, {KindRegion, spec.From, "from"}, {KindRegion, spec.To, "to"}}
	case ClientBlock:
		return []reference{{KindFailureDomain, spec.FailureDomain, "failure-domain"}}
	default:
		return nil
	}
}

func referencesTo(kind Kind, names []string, field string) []reference {
	refs := make([]reference, 0, len(names))
	for _, n := range names {
		refs = append(refs, reference{kind, n, field})
	}
	return refs
}
