package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/overflow"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

const (
	// slowLinkMbps is the speed below which the link of a host limits what may leave a failure domain. On
	// a faster one, a node at its design load of 100 requests per second uses a few percent.
	slowLinkMbps = 100
	// bytesPerMbit is the number of bytes per second of one Mbit/s.
	bytesPerMbit = 125_000
	// overflowInterval is the interval at which the shares are published. The upstreams of all domains are
	// counted after each change of the directory, but only once in minSitesInterval: a domain that
	// returns changes many records.
	overflowInterval = 200 * time.Millisecond
	minSitesInterval = 50 * time.Millisecond
	// exchangeHeaderBytes is the typical size of the headers of a request and its response.
	exchangeHeaderBytes = 920
	// minLoggedShare is the share of requests from which a log line says that requests leave the domain.
	minLoggedShare = 0.01
	// unobservedWork is the work of a request of a route whose service time was not observed. Nodes tell
	// each other times in milliseconds, so shorter ones are never observed; the time that is assumed
	// elsewhere would make a fast route look like a shortage.
	unobservedWork = time.Millisecond
	// maxClosedDomains is the number of domains that reject a request before it is refused.
	maxClosedDomains = 2
	// foreignRetryAfter is the time after which a request from another domain may be admitted: the
	// estimates have forgotten a quarter of what they hold by then.
	foreignRetryAfter = 250 * time.Millisecond
)

// reasonForeign is given to a request from another failure domain when the domain of the upstream has too
// little room for its own callers.
const reasonForeign = "foreign"

// overflowControl connects package overflow to the node. A nil one has no effect: the links of the hosts
// are fast or their speed is not known.
type overflowControl struct {
	g      *Gateway
	policy *overflow.Policy
	// services are those with known nodes, and leaving those of which requests leave. Only run uses them.
	services []string
	leaving  map[string]bool
	revision uint64
	active   *activeConfig
	own      mulberrylink.Node
}

// newOverflowControl returns nil if the settings state no link speed or a fast link.
func newOverflowControl(g *Gateway) *overflowControl {
	if g.cfg.LinkMbps <= 0 || g.cfg.LinkMbps >= slowLinkMbps {
		return nil
	}
	return &overflowControl{
		g: g, leaving: make(map[string]bool),
		policy: overflow.New(overflow.Config{Domain: g.cfg.Domain, LinkBytesPerSecond: g.cfg.LinkMbps * bytesPerMbit}),
	}
}

// run counts the upstreams of all domains and publishes the shares until ctx ends.
func (o *overflowControl) run(ctx context.Context) {
	if o == nil {
		return
	}
	ticker := time.NewTicker(overflowInterval)
	defer ticker.Stop()
	for {
		changed := o.update(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
			time.Sleep(minSitesInterval)
		}
	}
}

// update passes changes of the directory and of the configuration on, and logs where requests begin or
// cease to leave the domain. The channel is closed at the next change of the directory.
func (o *overflowControl) update(now time.Time) <-chan struct{} {
	active := o.g.active.Load()
	changed, _, next := o.g.directory.ChangedSince(o.revision)
	own := o.g.upstream.nodeRecord() // the directory may not have the latest one
	if active != nil && (len(changed) > 0 || active != o.active || own != o.own) {
		entries, revision, _ := o.g.directory.ChangedSince(0)
		nodes := []mulberrylink.Node{own}
		for i := range entries {
			if n := entries[i].Node; n.State != mulberrylink.NodeGone && n.Name != own.Name {
				nodes = append(nodes, n)
			}
		}
		o.setSites(nodes, active, now)
		o.revision, o.active, o.own = revision, active, own
	}
	for _, service := range o.services {
		st := o.policy.Status(service, now)
		metrics.GetOrRegisterGauge("overflow_share_permille."+service, o.g.cfg.Registry).Update(int64(st.Share * 1000))
		leaves := st.Share >= minLoggedShare
		if leaves == o.leaving[service] || !leaves && st.Share > 0 {
			continue
		}
		o.leaving[service] = leaves
		msg := "requests no longer leave the failure domain"
		if leaves {
			msg = "requests leave the failure domain for lack of capacity"
		}
		o.g.log.Info().Str("service", service).Float64("share", st.Share).Float64("demand", st.Home.Demand).Float64("usable", st.Home.Usable).
			Float64("used", st.Home.Used).Float64("shortage", st.Shortage).Float64("room", st.Room).Msg(msg)
	}
	metrics.GetOrRegisterGauge("link_use_permille", o.g.cfg.Registry).Update(int64(o.policy.LinkUse(now) * 1000))
	return next
}

// setSites counts the usable upstreams of each service by domain.
func (o *overflowControl) setSites(nodes []mulberrylink.Node, active *activeConfig, now time.Time) {
	type key struct{ service, domain string }
	sites := make(map[key]*overflow.Site)
	hosts := make(map[string]int)
	for _, n := range nodes {
		hosts[n.Domain]++
		if n.Service == "" || !n.Usable() || active.state.IsDomainOut(n.Domain) {
			continue
		}
		k := key{n.Service, n.Domain}
		if sites[k] == nil {
			sites[k] = &overflow.Site{Domain: n.Domain}
		}
		sites[k].Upstreams++
		if rate := o.g.warmupRate(active.table.Services[n.Service]); n.Upstream == mulberrylink.UpstreamCold && rate > 0 {
			sites[k].ColdRate += rate
		} else {
			sites[k].Slots += float64(n.Slots)
		}
	}
	o.services = o.services[:0]
	for _, n := range nodes {
		if n.Service != "" && !slices.Contains(o.services, n.Service) {
			o.services = append(o.services, n.Service)
		}
	}
	for _, service := range o.services {
		list := make([]overflow.Site, 0, len(hosts))
		for domain, count := range hosts {
			site := overflow.Site{Domain: domain}
			if s := sites[key{service, domain}]; s != nil {
				site = *s
			}
			site.Nodes = count
			list = append(list, site)
		}
		o.policy.SetSites(service, list, now)
	}
	o.policy.Retain(func(service string) bool {
		_, configured := active.table.Services[service]
		return configured || slices.Contains(o.services, service)
	})
}

// begin counts a request of a caller and draws whether it leaves the domain.
func (o *overflowControl) begin(q *request) *overflow.Routing {
	if o == nil {
		return nil
	}
	work := q.serviceTime
	if q.serviceTimeAssumed {
		work = min(work, unobservedWork)
	}
	return o.policy.Begin(q.service, overflow.Request{Work: work, SizeKiB: q.sizeKiB(), Value: q.value()}, time.Now())
}

// overflowReason returns why an attempt leaves the domain if it does.
func (k attemptKind) overflowReason() overflow.Reason {
	switch k {
	case hedgeAttempt:
		return overflow.Hedge
	case retryAttempt:
		return overflow.Retry
	case firstAttempt:
	}
	return overflow.Shortage
}

// choose chooses the upstream of the next attempt among those of one domain. all are the candidates of
// all domains. Without overflowControl, or for a suspect, whose node is fixed, it chooses among all.
func (s *requestState) choose(now time.Time, kind attemptKind, preq *placement.Request, all []placement.Candidate, fixed bool) (placement.Choice, overflow.Step, bool) {
	g := s.req.g
	o := g.overflow
	if o == nil || fixed {
		choice, ok := g.balancer.Choose(now, preq, all)
		return choice, overflow.Step{Reason: overflow.Suspect}, ok
	}
	inTime := !now.Add(g.cfg.Tuning.CrossDomainRTT + s.req.serviceTime).After(s.req.deadline)
	has := func(domain string) bool {
		return (inTime || domain == g.cfg.Domain) && slices.ContainsFunc(all, func(c placement.Candidate) bool { return c.Domain == domain && !s.excluded[c.Name] })
	}
	step, ok := s.routing.Next(kind.overflowReason(), has, now)
	open := s.openDomains(now, all)
	if !ok && len(s.closedDomains) < maxClosedDomains {
		// A request is not refused because all domains look busy: their estimates lag, and single upstreams
		// may have room.
		open = s.otherDomains(all)
	}
	if !ok && slices.ContainsFunc(open, has) {
		step, ok = overflow.Step{Domain: g.cfg.Domain, Reason: kind.overflowReason()}, true
	}
	if !ok {
		if slices.ContainsFunc(all, func(c placement.Candidate) bool { return c.Domain != g.cfg.Domain && !s.excluded[c.Name] }) {
			g.stats.count("kept_home")
		}
		return placement.Choice{}, step, false
	}
	preq.LinkCostPerKiB = o.policy.LinkCostPerKiB(now)
	use := make(map[string]float64)
	for i := range all {
		c := &all[i]
		if _, known := use[c.Domain]; !known {
			use[c.Domain] = o.policy.Use(s.req.service, c.Domain, now)
		}
		c.Use = use[c.Domain]
	}
	inDomain := make([]placement.Candidate, 0, len(all))
	for i := range all {
		if all[i].Domain == step.Domain || inTime && !step.Out && slices.Contains(open, all[i].Domain) {
			inDomain = append(inDomain, all[i])
		}
	}
	choice, ok := g.balancer.Choose(now, preq, inDomain)
	if ok && !step.Out {
		if i := slices.IndexFunc(inDomain, func(c placement.Candidate) bool { return c.Name == choice.Name }); inDomain[i].Domain != g.cfg.Domain {
			step.Domain, step.Out, step.Reason = inDomain[i].Domain, true, overflow.Sooner
		}
	}
	if ok && choice.Reserved && !step.Out && len(inDomain) < len(all) {
		// Only upstreams in reserve are left in the domain. A sound one goes first, in any domain.
		if sound, found := g.balancer.Choose(now, preq, all); found && !sound.Reserved {
			choice, step.Reason = sound, overflow.Reserve
			step.Out = !slices.ContainsFunc(inDomain, func(c placement.Candidate) bool { return c.Name == sound.Name })
		}
	}
	return choice, step, ok
}

// openDomains returns the other domains with room, in which upstreams are chosen by cost as at home. A
// domain that has rejected the request is not among them.
func (s *requestState) openDomains(now time.Time, all []placement.Candidate) []string {
	return slices.DeleteFunc(s.otherDomains(all), func(d string) bool { return !s.req.g.overflow.policy.HasRoom(s.req.service, d, now) })
}

// otherDomains returns the other domains that have not rejected the request.
func (s *requestState) otherDomains(all []placement.Candidate) []string {
	var list []string
	for i := range all {
		if d := all[i].Domain; d != s.req.g.cfg.Domain && !slices.Contains(list, d) && !slices.Contains(s.closedDomains, d) {
			list = append(list, d)
		}
	}
	return list
}

// origin returns what the hop header tells of this node's domain. The node of the attempt gets the work
// of the callers if it is in that domain, and the estimate of the domain otherwise.
func (o *overflowControl) origin(service string, a *attempt) hop.Origin {
	if o == nil {
		return hop.Origin{}
	}
	origin := hop.Origin{Domain: o.g.cfg.Domain}
	if a.node.Domain == o.g.cfg.Domain {
		origin.Work = o.policy.TakeWork(service)
	} else {
		origin.Home = o.policy.Home(service, time.Now())
	}
	return origin
}

// recordAttempt records what the response to an attempt tells, and whether the upstream had no room. A
// rejection because another upstream is better does not count.
func (o *overflowControl) recordAttempt(s *requestState, a *attempt, now time.Time) {
	if o == nil {
		return
	}
	res := &a.res
	if res.meta.Epoch != "" {
		o.recordResponse(s.req.service, &a.node, &res.meta, now)
	}
	switch reason := res.meta.RejectReason; {
	case reason == "":
		s.routing.Answered(a.node.Domain, now)
	case reason != reasonSlower && reason != reasonReserved && reason != reasonSuspect:
		// A request may wait beside one upstream, on a disturbed host, while its domain has room.
		short := reason == reasonForeign && !o.policy.HasRoom(s.req.service, a.node.Domain, now)
		s.routing.Rejected(a.node.Domain, short, now)
	}
}

// recordResponse records the load and the estimates in a response or an interim response of a node.
func (o *overflowControl) recordResponse(service string, n *mulberrylink.Node, meta *hop.ResponseMeta, now time.Time) {
	if o == nil || meta.RejectReason == reasonNoService {
		return // what the node states is about another service
	}
	if n.Domain == o.g.cfg.Domain {
		o.recordLoad(service, meta.Load, n.Slots, now)
	}
	o.policy.Merge(service, meta.Domains, now)
}

func (o *overflowControl) recordLoad(service string, load placement.Load, slots int, now time.Time) {
	if load.Slots > 0 && !load.Cold {
		o.policy.RecordReport(service, overflow.Report{Busy: load.Running + load.Waiting, Limit: load.Slots, Slots: slots, Slowdown: load.Slowdown}, now)
	}
}

// domains returns what the responses of this node tell of its service.
func (o *overflowControl) domains() []overflow.Estimate {
	if o == nil {
		return nil
	}
	service := o.g.upstream.current().Service
	if service == "" {
		return nil
	}
	return o.policy.State(service, time.Now())
}

// admits records what an entry node tells with a request, and decides whether a request from another domain
// may be admitted. It goes before the other rules of admission, which apply to what it admits.
func (o *overflowControl) admits(req *upstreamRequest) bool {
	if o == nil {
		return true
	}
	now, load, origin := time.Now(), o.g.admission.Load(), &req.meta.Origin
	o.recordLoad(req.meta.Service, load, o.g.upstream.nodeRecord().Slots, now)
	switch origin.Domain {
	case "":
		return true // the entry node does not take part
	case o.g.cfg.Domain:
		o.policy.RecordWork(req.meta.Service, origin.Work, now)
		return true
	}
	if origin.Home.Domain != "" {
		o.policy.Merge(req.meta.Service, []overflow.Estimate{origin.Home}, now)
	}
	return o.policy.AdmitsForeign(req.meta.Service, load.Waiting, now)
}

// transferred counts the bytes that an attempt at another node took: on the link and, if it left
// the domain, by reason.
func (o *overflowControl) transferred(q *request, a *attempt) {
	if o == nil || a.local || a.res.meta.RejectReason == reasonNodeUnreachable {
		return
	}
	size := exchangeBytes(q.length, a.res.meta.RejectReason != "", a.res.resp)
	o.policy.Transferred(size, time.Now())
	if a.node.Domain != o.g.cfg.Domain {
		metrics.GetOrRegisterCounter("bytes_out."+a.step.Reason.String(), o.g.cfg.Registry).Inc(size)
	}
}

// admitted counts the bytes of a request of another node on the link.
func (o *overflowControl) admitted(length int64, res *result) {
	if o != nil {
		o.policy.Transferred(exchangeBytes(length, res.meta.RejectReason != "", res.resp), time.Now())
	}
}

// exchangeBytes returns the size of a request between two nodes and its response. A large body is not
// sent if the request is rejected.
func exchangeBytes(length int64, rejected bool, resp *exchange.Response) int64 {
	size := int64(exchangeHeaderBytes)
	if !rejected || length <= expectContinueThreshold {
		size += max(0, length)
	}
	if resp != nil {
		size += max(int64(len(resp.Body)), resp.Length)
	}
	return size
}

// recordRejection keeps what the caller is told if the request is refused. What another domain states
// counts only while the own domain has stated nothing: the caller comes back to this entry node.
func (s *requestState) recordRejection(a *attempt) {
	meta := &a.res.meta
	if a.step.Out && meta.RejectReason == reasonForeign && !s.req.g.overflow.policy.HasRoom(s.req.service, a.node.Domain, time.Now()) {
		s.closedDomains = append(s.closedDomains, a.node.Domain)
	}
	if a.step.Out && !endsRequest(meta.RejectReason) {
		s.awayRetryAfter = earliestRetryAfter(s.awayRetryAfter, meta.RetryAfter)
		if s.rejectReason == "" {
			s.rejectReason = meta.RejectReason
		}
		return
	}
	s.rejectReason = meta.RejectReason
	s.nameTime(meta.RetryAfter)
}

// earliestRetryAfter returns the shorter of two delays, where 0 means unknown.
func earliestRetryAfter(current, next time.Duration) time.Duration {
	if current == 0 || next > 0 && next < current {
		return next
	}
	return current
}
