package instance

import (
	"net/http"
	"net/netip"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/routers/caller"
)

const (
	// clientParameter names the client for whom a resolver asks.
	clientParameter = "client"
	// maxLocated bounds the instances in an answer.
	maxLocated = 16
)

// locate answers a look-up with the instances that are nearest to the client.
func (i *Instance) locate(r *http.Request, service string) (caller.Located, *refusal.Refusal) {
	snapshot := i.state.View().Snapshot
	if _, ok := snapshot.Get(resource.KindService, service); !ok {
		return caller.Located{}, refusal.New(http.StatusNotFound, refusal.NotFound, "no service has this name")
	}
	client, refused := clientOf(r)
	if refused != nil {
		return caller.Located{}, refused
	}
	region, failureDomain := i.placeOf(snapshot, client)
	i.refreshSelf()
	nearest := i.table.Nearest(region, failureDomain)
	return caller.Located{
		Instances: nearest[:min(len(nearest), maxLocated)],
		TTL:       i.settings.Requests.LookupTTL,
	}, nil
}

// clientOf returns the address of the client: the one that the request names or the one that it comes from;
// the zero address if it cannot be told.
func clientOf(r *http.Request) (netip.Addr, *refusal.Refusal) {
	if named := r.URL.Query().Get(clientParameter); named != "" {
		a, err := netip.ParseAddr(named)
		if err != nil {
			return netip.Addr{}, refusal.New(http.StatusBadRequest, refusal.Malformed, "client must be an IP address")
		}
		return a, nil
	}
	from, _ := netip.ParseAddrPort(r.RemoteAddr)
	return from.Addr(), nil
}

// placeOf returns the place that is nearest to a client; the instance's own if no client block contains the address.
func (i *Instance) placeOf(s resource.Snapshot, client netip.Addr) (region, failureDomain string) {
	if name, ok := s.FailureDomainOf(client); ok {
		if domain, ok := resource.Spec[resource.FailureDomain](s, resource.KindFailureDomain, name); ok {
			return domain.Region, name
		}
	}
	return i.settings.Instance.Region, i.settings.Instance.FailureDomain
}
