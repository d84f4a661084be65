package routes_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/routes"
)

func table(list ...routes.Route) *routes.Table { return routes.NewTable(1, list, nil, routes.Limits{}) }

// Guards against matching the route of another host, or a prefix that is not the longest one.
func TestLongestPrefixOfTheHost(t *testing.T) {
	is := is.New(t)
	tab := table(
		routes.Route{Name: "all", Host: "a.example", Prefix: "/"},
		routes.Route{Name: "orders", Host: "a.example", Prefix: "/orders/"},
		routes.Route{Name: "old", Host: "a.example", Prefix: "/orders/old/"},
		routes.Route{Name: "other", Host: "B.example", Prefix: "/x/"},
	)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/orders/old/7", "old"},
		{"a.example", "/orders/7?x=/orders/old/", "orders"},
		{"a.example:8080", "/orders", "all"},
		{"A.EXAMPLE", "/orders/", "orders"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/orders/7", ""},
		{"c.example", "/", ""},
	} {
		got := ""
		if r := tab.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
	is.Equal(tab.Match("", "/"), nil)
}

// Guards against a service that gets far more or less traffic than its weight, also over few
// requests and summed over nodes that have just started.
func TestSplitsKeepTheirWeights(t *testing.T) {
	r := &routes.Route{Name: "r", Split: []routes.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	const nodes, each = 9, 30
	got := 0
	for range nodes {
		s := routes.NewSplitter()
		for range each {
			if s.Pick(r) == "b" {
				got++
			}
		}
	}
	if share := float64(got) / (nodes * each); math.Abs(share-0.1) > 0.05 {
		t.Errorf("share of b is %.3f, want 0.1", share)
	}
}
