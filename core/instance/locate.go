package instance

import (
	"net/http"
	"net/netip"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/routers/caller"
)

const (
	// clientParameter is the query parameter with the IP address of the client on whose behalf a resolver asks.
	clientParameter = "client"
	// maxLookupInstances is the maximum number of instances in a lookup result.
	maxLookupInstances = 16
)

// locate returns the instances that are nearest to the client of a lookup.
func (i *Instance) locate(r *http.Request, service string) (caller.LookupResult, *refusal.Refusal) {
	snapshot := i.state.View().Snapshot
	if _, ok := snapshot.Get(resource.KindService, service); !ok {
		return caller.LookupResult{}, refusal.New(http.StatusNotFound, refusal.NotFound, "no service has this name")
	}
	client, refused := clientAddress(r)
	if refused != nil {
		return caller.LookupResult{}, refused
	}
	region, failureDomain := i.nearestPlace(snapshot, client)
	i.refreshSelf()
	nearest := i.table.Nearest(region, failureDomain)
	return caller.LookupResult{
		Instances: nearest[:min(len(nearest), maxLookupInstances)],
		TTL:       i.settings.Requests.LookupTTL,
	}, nil
}

// clientAddress returns the IP address of the client: the one in the query, or else the remote address of the request.
// It is the zero address if the remote address cannot be parsed.
func clientAddress(r *http.Request) (netip.Addr, *refusal.Refusal) {
	if named := r.URL.Query().Get(clientParameter); named != "" {
		a, err := netip.ParseAddr(named)
		if err != nil {
			return netip.Addr{}, refusal.New(http.StatusBadRequest, refusal.Malformed, "client must be an IP address")
		}
		return a, nil
	}
	remote, _ := netip.ParseAddrPort(r.RemoteAddr)
	return remote.Addr(), nil
}

// nearestPlace returns the region and failure domain of the client block that contains the address, or those of this
// instance if there is none or its failure domain does not exist.
func (i *Instance) nearestPlace(s resource.Snapshot, client netip.Addr) (region, failureDomain string) {
	if name, ok := s.FailureDomainOf(client); ok {
		if domain, ok := resource.Spec[resource.FailureDomain](s, resource.KindFailureDomain, name); ok {
			return domain.Region, name
		}
	}
	return i.settings.Instance.Region, i.settings.Instance.FailureDomain
}
