package check

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"medlarpond.dev/core/models/resource"
)

// Effects returns what applying a document would do to traffic, in a sentence for each effect.
func (r Report) Effects(d Document) []string {
	old, exists := r.Before.Get(d.Kind, d.Name)
	switch spec := d.Spec.(type) {
	case resource.Region:
		before, _ := old.Spec.(resource.Region)
		return changed(before.Capacity, spec.Capacity, exists, "region %q runs at most %d requests at once", d.Name)
	case resource.FailureDomain:
		return r.failureDomainEffects(d, old, spec)
	case resource.Link:
		before, _ := old.Spec.(resource.Link)
		return changed(before.BytesPerSecond, spec.BytesPerSecond, exists && before.From == spec.From && before.To == spec.To,
			"requests from region %q to %q may use %d bytes per second", spec.From, spec.To)
	case resource.Service:
		before, _ := old.Spec.(resource.Service)
		return serviceEffects(d.Name, before, spec, exists)
	case resource.Target:
		before, _ := old.Spec.(resource.Target)
		return r.targetEffects(d.Name, before, spec, exists)
	case resource.Team:
		before, _ := old.Spec.(resource.Team)
		return append(append(changed(before.Rate, spec.Rate, exists, "team %q may send %s requests per second", d.Name),
			changed(before.Burst, spec.Burst, exists, "team %q may send %s requests at once", d.Name)...),
			changed(before.Weight, spec.Weight, exists, "under overload team %q has a weight of %s", d.Name)...)
	case resource.Key:
		before, _ := old.Spec.(resource.Key)
		if exists && before.Hash != spec.Hash {
			return []string{fmt.Sprintf("the earlier secret of key %q is refused; requests with the new one count for team %q", d.Name, spec.Team)}
		}
		return changed(before.Team, spec.Team, exists, "requests with key %q count for team %s", d.Name)
	case resource.Route:
		before, _ := old.Spec.(resource.Route)
		return r.routeEffects(before, spec, exists)
	case resource.Shift:
		before, _ := old.Spec.(resource.Shift)
		same := exists && before.Service == spec.Service && before.From == spec.From && before.To == spec.To
		return append(changed(before.Cap, spec.Cap, same, "of service %q, region %q may send to %q at most %s requests per second", spec.Service, spec.From, spec.To),
			changed(before.Pace, spec.Pace, same || spec.Pace == 0, "of service %q, what region %q may send to %q grows each second by %s requests per second", spec.Service, spec.From, spec.To)...)
	case resource.ClientBlock:
		before, _ := old.Spec.(resource.ClientBlock)
		return changed(before.FailureDomain, spec.FailureDomain, exists && before.Prefix == spec.Prefix,
			"clients in %s are directed to instances near failure domain %s", spec.Prefix)
	default:
		return nil
	}
}

// changed returns a sentence about a value if it differs from the one before. The format has a verb for each argument and one for the
// value, which is the last.
func changed[T comparable](before, after T, exists bool, format string, arguments ...any) []string {
	if exists && before == after {
		return nil
	}
	text := fmt.Sprintf(format, append(arguments, printable(after))...)
	if exists {
		text += fmt.Sprintf(" (now %v)", printable(before))
	}
	return []string{text}
}

// words is text that sentences have without quotes.
type words string

// printable returns a value in the form in which sentences have it.
func printable(value any) any {
	switch v := value.(type) {
	case float64:
		return number(v)
	case resource.Duration:
		return time.Duration(v).String()
	case string:
		return strconv.Quote(v)
	default:
		return value
	}
}

func number(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

func (r Report) failureDomainEffects(d Document, old resource.Resource, spec resource.FailureDomain) []string {
	before, exists := old.Spec.(resource.FailureDomain)
	effects := changed(before.Region, spec.Region, exists, "failure domain %q belongs to region %s", d.Name)
	switch {
	case before.Capacity == spec.Capacity:
		return effects
	case before.Capacity == 0:
		return append(effects, fmt.Sprintf("failure domain %q runs at most %d requests at once (now bounded by its region only)", d.Name, spec.Capacity))
	case spec.Capacity == 0:
		return append(effects, fmt.Sprintf("failure domain %q is bounded by its region only (now %d requests at once)", d.Name, before.Capacity))
	default:
		return append(effects, changed(before.Capacity, spec.Capacity, exists, "failure domain %q runs at most %d requests at once", d.Name)...)
	}
}

func serviceEffects(name string, before, after resource.Service, exists bool) []string {
	list := func(values []string, empty words) words {
		if len(values) == 0 {
			return empty
		}
		return words(strings.Join(values, ", "))
	}
	effects := changed(before.RequestTimeout, after.RequestTimeout, exists, "requests of service %q end after %s", name)
	effects = append(effects, changed(before.QueueTimeout, after.QueueTimeout, exists, "requests of service %q wait for a free target for at most %s", name)...)
	effects = append(effects, changed(before.MaxBodyBytes, after.MaxBodyBytes, exists, "requests of service %q with a body over %d bytes are refused", name)...)
	effects = append(effects, changed(list(before.Regions, "all regions"), list(after.Regions, "all regions"), exists, "service %q is served in %s", name)...)
	effects = append(effects, changed(list(before.IdempotentMethods, "GET, HEAD, OPTIONS"), list(after.IdempotentMethods, "GET, HEAD, OPTIONS"), exists,
		"requests of service %q may be sent to targets again for the methods %s", name)...)
	if !exists {
		return effects
	}
	if shedding(before) != shedding(after) {
		effects = append(effects, fmt.Sprintf("targets of service %q refuse requests by %s (now %s)", name, shedding(after), shedding(before)))
	}
	effects = append(effects, changed(before.RequestBytes, after.RequestBytes, true, "a request of service %q to another region counts %d bytes of the link", name)...)
	effects = append(effects, changed(before.ProbePath, after.ProbePath, true, "targets of service %q are probed at %s", name)...)
	return append(effects, changed(before.ColdRamp, after.ColdRamp, true, "new targets of service %q reach their full share after %s", name)...)
}

func shedding(s resource.Service) string {
	if s.Shedding == nil {
		return "no response"
	}
	return fmt.Sprintf("status %d with header %s", s.Shedding.Status, s.Shedding.Header)
}

func (r Report) targetEffects(name string, before, after resource.Target, exists bool) []string {
	var effects []string
	switch {
	case !exists && after.Leaving:
		return []string{fmt.Sprintf("target %q gets no requests, as it is leaving", name)}
	case !exists:
		effects = append(effects, fmt.Sprintf("target %q gets requests of service %q, at %s", name, after.Service, after.Address))
	case !before.Leaving && after.Leaving:
		effects = append(effects, fmt.Sprintf("target %q gets no new requests; running ones finish", name))
	case before.Leaving && !after.Leaving:
		effects = append(effects, fmt.Sprintf("target %q gets requests again", name))
	}
	if exists {
		effects = append(effects, changed(before.Address, after.Address, true, "requests for target %q go to %s", name)...)
		effects = append(effects, changed(before.FailureDomain, after.FailureDomain, true, "target %q is in failure domain %s", name)...)
		effects = append(effects, changed(before.Connections, after.Connections, true, "target %q gets at most %d connections", name)...)
	}
	if exists && before.Service != after.Service {
		effects = append(effects, r.slotEffects(before.Service)...)
	}
	return append(effects, r.slotEffects(after.Service)...)
}

// slotEffects returns how the slots of a service change by the whole file.
func (r Report) slotEffects(service string) []string {
	before, after := slotsOf(r.Before, service, ""), slotsOf(r.After, service, "")
	if before == after {
		return nil
	}
	return []string{fmt.Sprintf("with the whole file, service %q runs up to %d requests at once (now %d)", service, after, before)}
}

func (r Report) routeEffects(before, after resource.Route, exists bool) []string {
	if exists && before.Path != after.Path {
		return append([]string{r.matchEffect(before.Path)}, r.routeEffects(after, after, false)...)
	}
	if !exists {
		now := "are not found"
		if match, ok := r.Before.RouteOf(after.Path); ok {
			now = fmt.Sprintf("use route %q to service %q", match.Name, match.Service)
		}
		return []string{fmt.Sprintf("requests below %s go to service %q, %s (now they %s)", after.Path, after.Service, access(after), now)}
	}
	effects := changed(before.Service, after.Service, true, "requests below %s go to service %s", after.Path)
	if access(before) != access(after) {
		effects = append(effects, fmt.Sprintf("requests below %s are accepted %s (now %s)", after.Path, access(after), access(before)))
	}
	return effects
}

// matchEffect returns what becomes of the requests of a path that a route no longer has.
func (r Report) matchEffect(path string) string {
	if match, ok := r.After.RouteOf(path); ok {
		return fmt.Sprintf("requests below %s use route %q to service %q", path, match.Name, match.Service)
	}
	return fmt.Sprintf("requests below %s are not found", path)
}

// access returns whose requests a route accepts.
func access(r resource.Route) string {
	switch {
	case r.Open:
		return "without a key"
	case len(r.Teams) == 0:
		return "with the key of any team"
	default:
		return "with a key of " + strings.Join(r.Teams, ", ")
	}
}
