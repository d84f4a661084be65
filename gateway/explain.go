package gateway

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/accounts"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
)

// ExplainPath is the path of ExplainHandler.
const ExplainPath = "/explain"

// ExplainHandler returns a handler that explains where a request would go if it arrived now, as lines of
// key=value pairs. It sends nothing and changes nothing that later requests depend on. The parameters of
// the query are host, path, and optionally account, the name of a client account.
func (g *Gateway) ExplainHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		g.explain(w, q.Get("host"), q.Get("path"), q.Get("account"), time.Now())
	})
}

func (g *Gateway) explain(w io.Writer, host, path, account string, now time.Time) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	active := g.active.Load()
	if active == nil {
		line("refused status=503 reason=%s", reasonNoConfig)
		return
	}
	route := active.table.Match(host, path)
	if route == nil {
		line("refused status=404 reason=%s version=%d", mulberrylink.ReasonNoRoute, active.state.Version)
		return
	}
	serviceTime, assumed := g.estimateServiceTime(route)
	line("request version=%d route=%s kind=%s priority=%d objective=%s timeout=%s work=%s assumed=%t",
		active.state.Version, route.Name, route.Kind, route.Priority, route.Objective, route.Timeout, serviceTime.Round(time.Millisecond), assumed)
	if !g.explainAccount(line, active.table, route, account) {
		return
	}
	for _, part := range route.Split {
		g.explainService(line, active, route, part, serviceTime, now)
	}
}

// explainAccount explains what the client account decides. It returns false if the request is refused.
func (g *Gateway) explainAccount(line func(string, ...any), table *routes.Table, route *routes.Route, name string) bool {
	if table.Accounts == nil {
		return true
	}
	var a *accounts.Account
	if name != "" {
		a, _ = table.Accounts.Account(name)
	}
	switch {
	case a == nil && !route.Public:
		line("refused status=401 reason=%s", mulberrylink.ReasonUnknownKey)
		return false
	case a == nil:
		return true
	}
	line("account name=%q priority=%d rate=%g burst=%g", a.Name, a.Priority, a.Rate, a.Burst)
	if g.lease != nil && !g.lease.Valid() {
		line("refused status=503 reason=%s", mulberrylink.ReasonLeaseEnded)
		return false
	}
	return true
}

// explainService explains the choice among the upstreams of one part of the split of a route.
func (g *Gateway) explainService(line func(string, ...any), active *activeConfig, route *routes.Route, part routes.WeightedService, serviceTime time.Duration, now time.Time) {
	line("service name=%s weight=%d", part.Service, part.Weight)
	if order := g.Rollout(part.Service); order != nil {
		line("rollout to=%s state=%s share=%.3f", order.To, order.State, float64(order.Share)/1000)
	}
	if g.overflow != nil {
		st := g.overflow.policy.Status(part.Service, now)
		line("overflow share=%.3f demand=%.1f usable=%.1f shortage=%.1f room=%.1f link=%.2f", st.Share, st.Home.Demand, st.Home.Usable, st.Shortage, st.Room, g.overflow.policy.LinkUse(now))
	}
	var list []placement.Candidate
	domains := make(map[string]string)
	for _, n := range append(g.directory.ServiceNodes(part.Service), g.upstream.nodeRecord()) {
		switch {
		case n.Service != part.Service || domains[n.Name] != "":
		case active.state.IsDomainOut(n.Domain):
			line("excluded node=%s domain=%s why=%s", n.Name, n.Domain, mulberrylink.ReasonDomainOut)
		case !n.Usable():
			line("excluded node=%s domain=%s why=%s state=%s", n.Name, n.Domain, n.Upstream, n.State)
		default:
			domains[n.Name] = n.Domain
			list = append(list, placement.Candidate{
				Name: n.Name, Domain: n.Domain, Slots: n.Slots, Cold: n.Upstream == mulberrylink.UpstreamCold, WarmupRate: g.warmupRate(active.table.Services[part.Service]), Local: n.Name == g.cfg.Name,
			})
		}
	}
	size := headersKiB + g.transferSizes.MeanOr(route.Name, time.Second).Seconds()
	value := 1.0
	if route.Kind != routes.Safe {
		value = g.cfg.Tuning.NonIdempotentValue
	}
	ranked := g.balancer.Rank(now, &placement.Request{
		ServiceTime: serviceTime, Objective: now.Add(route.Objective), Deadline: now.Add(route.Timeout), SizeKiB: size, Value: value, Reroutable: true, Repeatable: route.Kind == routes.Safe,
	}, list)
	if len(ranked) == 0 {
		line("refused status=503 reason=%s", mulberrylink.ReasonNoUpstream)
		return
	}
	for i, c := range ranked {
		why := "cost"
		switch {
		case i == 0:
			why = "chosen"
		case c.Reserved:
			why = "reserve"
		}
		load := "unknown"
		if l, age, ok := g.balancer.LastLoad(c.Name, now); ok {
			load = fmt.Sprintf("%d+%d/%d age=%s", l.Running, l.Waiting, l.Slots, age.Round(time.Millisecond))
		}
		line("upstream rank=%d node=%s domain=%s why=%s cost=%.3f slowdown=%.1f load=%s", i+1, c.Name, domains[c.Name], why, c.Cost, c.Slowdown, load)
	}
}
