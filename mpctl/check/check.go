// Package check examines resources that operators are about to apply: whether each is valid, whether all together with what is in
// force make sense, and what they would change.
package check

import (
	"errors"
	"fmt"
	"slices"

	"medlarpond.dev/core/models/resource"
)

// Finding is something in a configuration that operators should look at.
type Finding struct {
	// File and Line are empty for a resource that is in force and not in the file, but is affected by the file.
	File string        `json:"file,omitempty"`
	Line int           `json:"line,omitempty"`
	Kind resource.Kind `json:"kind,omitempty"`
	Name string        `json:"name,omitempty"`
	// Field is the dotted path of a field, or empty if the finding is about the resource.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	text := "in force: "
	if f.File != "" {
		text = fmt.Sprintf("%s:%d: ", f.File, f.Line)
	}
	if f.Kind != "" {
		text += fmt.Sprintf("%s %q: ", f.Kind, f.Name)
	}
	if f.Field != "" {
		text += f.Field + ": "
	}
	return text + f.Message
}

// Report is the result of a check.
type Report struct {
	// Findings are in the order of the file, those about other resources last.
	Findings []Finding
	// Documents are the resources of the file, in its order.
	Documents []Document
	// Before holds what is in force, After what would be if all documents were applied.
	Before, After resource.Snapshot
}

// Run checks the content of a file against the resources in force. The name of the file appears in the findings.
func Run(file string, content []byte, inForce []resource.Resource) (Report, error) {
	documents, findings, err := parse(file, content)
	if err != nil {
		return Report{}, err
	}
	r := Report{Findings: findings, Documents: documents, Before: resource.NewSnapshotOf(inForce)}
	r.After = r.Before
	for i, d := range documents {
		r.checkDocument(file, d, documents[:i], documents[i+1:])
		r.After = r.After.With(d.Resource)
	}
	r.checkWhole(file)
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return orderOf(a) - orderOf(b) })
	return r, nil
}

// orderOf returns the line of a finding; findings without one come last.
func orderOf(f Finding) int {
	if f.Line == 0 {
		return int(^uint(0) >> 1)
	}
	return f.Line
}

// checkDocument checks one document against what would be in force when it is applied. The documents of a file are applied in order.
func (r *Report) checkDocument(file string, d Document, earlier, later []Document) {
	add := func(field, message string) {
		r.Findings = append(r.Findings, Finding{File: file, Line: d.lineOf(field), Kind: d.Kind, Name: d.Name, Field: field, Message: message})
	}
	for _, other := range earlier {
		if other.Kind == d.Kind && other.Name == d.Name {
			add("name", fmt.Sprintf("line %d has the same resource; this one would replace it", other.Line))
		}
	}
	switch current, ok := r.Before.Get(d.Kind, d.Name); {
	case d.Version == 0 || ok && current.Version == d.Version:
	case ok:
		add("version", fmt.Sprintf("is based on version %d, but version %d is in force", d.Version, current.Version))
	default:
		add("version", fmt.Sprintf("is based on version %d, but the %s is not in force", d.Version, d.Kind))
	}
	var invalid *resource.ErrInvalid
	if err := resource.Validate(r.After, d.Resource); !errors.As(err, &invalid) {
		return
	}
	complete := r.After
	for _, other := range later {
		complete = complete.With(other.Resource)
	}
	var remaining *resource.ErrInvalid
	if err := resource.Validate(complete, d.Resource); errors.As(err, &remaining) {
		add(remaining.Field, remaining.Fix)
	}
	if remaining == nil || remaining.Field != invalid.Field {
		add(invalid.Field, invalid.Fix+"; a later document does so, move it up")
	}
}

// checkWhole checks how the resources would work together. What is wrong in the version in force already is reported only for the
// resources of the file.
func (r *Report) checkWhole(file string) {
	known := inconsistencies(r.Before)
	for _, f := range inconsistencies(r.After) {
		i := slices.IndexFunc(r.Documents, func(d Document) bool { return d.Kind == f.Kind && d.Name == f.Name })
		if i >= 0 {
			f.File, f.Line = file, r.Documents[i].lineOf(f.Field)
		} else if slices.Contains(known, f) {
			continue
		}
		r.Findings = append(r.Findings, f)
	}
}

// inconsistencies returns findings about resources that are valid each but never take effect, or contradict each other. They have no
// line.
func inconsistencies(s resource.Snapshot) []Finding {
	var findings []Finding
	for _, r := range s.All() {
		for _, f := range findingsOf(s, r) {
			f.Kind, f.Name = r.Kind, r.Name
			findings = append(findings, f)
		}
	}
	return findings
}

// findingsOf returns the inconsistencies of one resource, without its kind and name.
func findingsOf(s resource.Snapshot, r resource.Resource) []Finding {
	switch spec := r.Spec.(type) {
	case resource.FailureDomain:
		region, ok := resource.Spec[resource.Region](s, resource.KindRegion, spec.Region)
		if ok && spec.Capacity > region.Capacity {
			return finding("capacity", "%d is never reached, as region %q has a capacity of %d", spec.Capacity, spec.Region, region.Capacity)
		}
	case resource.Service:
		var findings []Finding
		for _, region := range spec.Regions {
			if slotsOf(s, r.Name, region) == 0 {
				findings = append(findings, finding("regions", "region %q has no target of the service that takes requests", region)...)
			}
		}
		return findings
	case resource.Target:
		service, ok := resource.Spec[resource.Service](s, resource.KindService, spec.Service)
		domain, known := resource.Spec[resource.FailureDomain](s, resource.KindFailureDomain, spec.FailureDomain)
		if ok && known && !serves(service, domain.Region) {
			return finding("failure-domain", "the target never gets requests: it is in region %q, which may not serve %q", domain.Region, spec.Service)
		}
	case resource.Team:
		if !hasRoute(s, r.Name) {
			return finding("", "no route that needs a key permits this team")
		}
	case resource.Route:
		return routeFindings(s, r.Name, spec)
	case resource.Shift:
		return shiftFindings(s, spec)
	}
	return nil
}

func finding(field, format string, arguments ...any) []Finding {
	return []Finding{{Field: field, Message: fmt.Sprintf(format, arguments...)}}
}

func routeFindings(s resource.Snapshot, name string, route resource.Route) []Finding {
	var findings []Finding
	if match, ok := s.RouteOf(route.Path); ok && match.Name != name {
		findings = append(findings, finding("path", "the route never matches: requests for %s use route %q", route.Path, match.Name)...)
	}
	if _, ok := s.Get(resource.KindService, route.Service); ok && slotsOf(s, route.Service, "") == 0 {
		findings = append(findings, finding("service", "service %q has no target that takes requests", route.Service)...)
	}
	if route.Open && len(route.Teams) > 0 {
		findings = append(findings, finding("teams", "has no effect, as the route is open and needs no key")...)
	}
	return findings
}

func shiftFindings(s resource.Snapshot, shift resource.Shift) []Finding {
	service, ok := resource.Spec[resource.Service](s, resource.KindService, shift.Service)
	if !ok {
		return nil
	}
	if slotsOf(s, shift.Service, shift.To) == 0 {
		return finding("to", "the shift never takes effect: region %q has no target of service %q that takes requests", shift.To, shift.Service)
	}
	var findings []Finding
	for _, r := range s.List(resource.KindLink) {
		link := r.Spec.(resource.Link)
		onTheWay := link.From == shift.From && link.To == shift.To || link.From == shift.To && link.To == shift.From
		if carried := float64(link.BytesPerSecond) / float64(max(service.RequestBytes, 1)); onTheWay && service.RequestBytes > 0 && carried < shift.Cap {
			findings = append(findings, finding("cap", "%s requests per second are never reached, as link %q carries %s of %d bytes",
				number(shift.Cap), r.Name, number(carried), service.RequestBytes)...)
		}
	}
	return findings
}

// serves reports whether a region may serve a service.
func serves(s resource.Service, region string) bool {
	return len(s.Regions) == 0 || slices.Contains(s.Regions, region)
}

// slotsOf returns the number of slots of the targets of a service that take requests, in one region or, if it is empty, in all.
func slotsOf(s resource.Snapshot, service, region string) int {
	spec, _ := resource.Spec[resource.Service](s, resource.KindService, service)
	slots := 0
	for _, t := range s.TargetsOf(service) {
		if !t.Leaving && serves(spec, t.Region) && (region == "" || t.Region == region) {
			slots += t.Slots
		}
	}
	return slots
}

// hasRoute reports whether the keys of a team open any route that can match.
func hasRoute(s resource.Snapshot, team string) bool {
	return slices.ContainsFunc(s.List(resource.KindRoute), func(r resource.Resource) bool {
		route, _ := r.Spec.(resource.Route)
		match, _ := s.RouteOf(route.Path)
		return match.Name == r.Name && !route.Open && (len(route.Teams) == 0 || slices.Contains(route.Teams, team))
	})
}
