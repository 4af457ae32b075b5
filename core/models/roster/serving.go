package roster

import "slices"

const (
	// minServingFraction is the capacity of an instance relative to the largest one in its failure domain below which callers are
	// not directed to it. A small machine gets as many callers as a large one, as callers choose among the addresses at random.
	minServingFraction = 0.25
	// minServing is the number of instances of a failure domain to which callers are directed in any case, so that they have
	// another one if one fails.
	minServing = 2
)

// Serving returns the instances to which callers at a place are directed: those of its failure domain with enough capacity
// relative to the largest one. These are all instances if the capacity of any of them is unknown. The order of the list is kept.
func Serving(instances []Instance, place Place) []Instance {
	var domain []Instance
	largest, known := 0.0, true
	for _, i := range instances {
		if i.Place != place {
			continue
		}
		domain = append(domain, i)
		largest = max(largest, i.Capacity)
		known = known && i.Capacity > 0
	}
	if !known || len(domain) <= minServing {
		return domain
	}
	capacities := make([]float64, 0, len(domain))
	for _, i := range domain {
		capacities = append(capacities, i.Capacity)
	}
	slices.Sort(capacities)
	threshold := min(minServingFraction*largest, capacities[len(capacities)-minServing])
	return slices.DeleteFunc(domain, func(i Instance) bool { return i.Capacity < threshold })
}
