package ratepool

// HeldPart returns the part of a team's limit that the buckets of a process hold now.
func (p *Pool) HeldPart(team string) (sum float64) {
	for _, n := range []*node{p.member, p.collector, p.root} {
		n.mu.Lock()
		n.refresh(n.now())
		if b := n.buckets[team]; b != nil {
			sum += b.part
		}
		n.mu.Unlock()
	}
	return sum
}
