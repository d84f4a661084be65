package selection

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylink/mulberrylink"
)

// Rendezvous returns the rendezvous hash of a node for the given seed.
func Rendezvous(seed uint64, node string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// subset returns up to size usable nodes that an entry node chooses from. It
// takes the node with the highest rank of each failure domain in turn, its own
// domain first. A change of one node therefore changes the subset by at most one
// node, and every domain is represented if size allows. The entry node itself is
// included when it is usable.
func subset(nodes []mulberrylink.Node, self, domain string, size int) []mulberrylink.Node {
	usable := make([]mulberrylink.Node, 0, len(nodes))
	for _, n := range nodes {
		if n.Usable() {
			usable = append(usable, n)
		}
	}
	if size <= 0 || len(usable) <= size {
		return usable
	}
	seed := xxhash.Sum64String(self)
	ranked := rankByDomain(usable, func(n mulberrylink.Node) uint64 {
		if n.Name == self {
			return ^uint64(0)
		}
		return Rendezvous(seed, n.Name)
	})
	order := rankDomains(ranked, seed, domain)
	out := make([]mulberrylink.Node, 0, size)
	for len(out) < size {
		for _, d := range order {
			if len(ranked[d]) == 0 || len(out) == size {
				continue
			}
			out = append(out, ranked[d][0])
			ranked[d] = ranked[d][1:]
		}
	}
	return out
}

// rankByDomain groups the nodes by failure domain, highest rank first.
func rankByDomain(nodes []mulberrylink.Node, rank func(mulberrylink.Node) uint64) map[string][]mulberrylink.Node {
	ranked := make(map[string][]mulberrylink.Node)
	for _, n := range nodes {
		ranked[n.Domain] = append(ranked[n.Domain], n)
	}
	for _, group := range ranked {
		slices.SortFunc(group, func(a, b mulberrylink.Node) int {
			return cmp.Compare(rank(b), rank(a))
		})
	}
	return ranked
}

// rankDomains returns the failure domains by descending rank, ownDomain first.
func rankDomains(ranked map[string][]mulberrylink.Node, seed uint64, ownDomain string) []string {
	order := make([]string, 0, len(ranked))
	for d := range ranked {
		order = append(order, d)
	}
	rank := func(d string) uint64 {
		if d == ownDomain {
			return ^uint64(0)
		}
		return Rendezvous(seed, d)
	}
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	return order
}
