package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// lostNode is the refusal of a node that could not be reached.
const lostNode = "lostnode"

var slower = capacity.Slower.String()

const (
	// waitBody is the size from which a body is sent to another node only after
	// that node has admitted the request.
	waitBody = 8 << 10
	// hedgeSpread is how many times its mean work a request may take before a
	// second try is considered.
	hedgeSpread = 1.7
	// hedgeCost is the largest expected cost of a second try.
	hedgeCost = 0.6
	// resolveTime bounds a question about a lost exchange.
	resolveTime = time.Second
)

// candidates returns the upstreams that may be chosen.
func (s *state) candidates() (all []placement.Candidate, nodes map[string]mulberrylink.Node) {
	g := s.q.g
	list := g.dir.ServiceNodes(s.q.service)
	nodes = make(map[string]mulberrylink.Node, len(list))
	view := g.view.Load()
	add := func(n mulberrylink.Node) {
		if view.state.IsDomainOut(n.Domain) {
			return
		}
		nodes[n.Name] = n
		all = append(all, placement.Candidate{
			Name: n.Name, Domain: n.Domain, Slots: n.Slots, Cold: n.Upstream == mulberrylink.UpstreamCold, Local: n.Name == g.cfg.Name,
		})
	}
	for _, n := range list {
		if n.Name != g.cfg.Name && n.Usable() {
			add(n)
		}
	}
	if b := g.upstream.current(); b.Service == s.q.service {
		if n := g.upstream.record(); n.Upstream == mulberrylink.UpstreamUp || n.Upstream == mulberrylink.UpstreamCold {
			add(n)
			g.board.RecordLoad(n.Name, g.gate.Load(), time.Now())
		}
	}
	return all, nodes
}

// place starts a try at the best upstream that is left. It returns false when
// there is none.
func (s *state) place(limit *float64) bool {
	g, q := s.q.g, s.q
	now := time.Now()
	if s.placed >= maxPlaced || s.placed > 0 && !q.replayable() {
		return false
	}
	all, nodes := s.candidates()
	c, ok := g.board.Choose(now, &placement.Request{
		ServiceTime: q.work, Objective: q.objective, Deadline: q.deadline, Exclude: s.avoid, SizeKiB: q.kib(), Value: q.worth(),
		Reroutable: s.bounced < maxBounced,
	}, all)
	if !ok || limit != nil && c.Cost > *limit {
		return false
	}
	s.placed++
	t := &try{node: nodes[c.Name], local: c.Name == g.cfg.Name, choice: c, began: now, hedge: limit != nil}
	ctx, cancel := context.WithCancel(s.ctx)
	t.cancel = cancel
	s.running = append(s.running, t)
	g.board.RequestSent(c.Name)
	ask := s.askFor(t, now)
	go func() {
		if t.local {
			s.runLocal(ctx, t, ask)
		} else {
			s.runPeer(ctx, t, ask)
		}
		// Also when nobody waits for the result any more.
		g.board.RequestEnded(c.Name)
		if t.res.ran() {
			g.stats.count("sent")
		}
		s.ended <- t
	}()
	s.reached++
	return true
}

// kib returns the size of the request and of the answer to expect.
func (q *request) kib() float64 {
	return headerKiB + float64(max(0, q.length))/1024 + q.g.sizes.MeanOr(q.route.Name, time.Second).Seconds()
}

func (q *request) worth() float64 {
	if q.route.Kind == routes.Safe {
		return 1
	}
	return q.g.cfg.Tuning.NonIdempotentWeight
}

// hedgeAfter returns when a second try is considered.
func (s *state) hedgeAfter() time.Duration {
	return time.Duration(hedgeSpread*float64(s.q.work)) + s.q.g.cfg.Tuning.CrossDomainRTT
}

// hedge starts a second try of a request that may be repeated and is late, if
// another upstream can still finish it in time.
func (s *state) hedge() {
	q := s.q
	if q.route.Kind != routes.Safe || s.hedged || len(s.running) != 1 || s.reached >= q.route.MaxAttempts {
		return
	}
	first := s.running[0]
	s.avoid[first.node.Name] = true
	limit := hedgeCost
	all, _ := s.candidates()
	if len(all) < 2 {
		return
	}
	if !s.mayRetry() {
		return
	}
	if s.place(&limit) {
		s.hedged = true
		q.g.stats.count("hedged")
	}
}

// runLocal runs a try on the own upstream.
func (s *state) runLocal(ctx context.Context, t *try, ask hop.RequestMeta) {
	g, q := s.q.g, s.q
	t.res = g.admit(ctx, &work{
		ask: ask, method: q.in.Method, target: q.in.RequestURI, host: q.in.Host, header: q.header,
		body: q.reader(), length: q.length, objective: q.objective, deadline: q.deadline,
	})
}

// runPeer sends a try to the node beside the upstream.
func (s *state) runPeer(ctx context.Context, t *try, ask hop.RequestMeta) {
	g, q := s.q.g, s.q
	header := q.header.Clone()
	header.Set(hop.Header, ask.Encode())
	call := &exchange.Call{
		Addr: t.node.Addr, Method: q.in.Method, Target: q.in.RequestURI, Host: q.in.Host, Header: header,
		Body: q.reader(), Length: q.length, Deadline: q.deadline.Add(answerSlack), Silence: silentTime,
		Interim: func(h http.Header) {
			if reply, err := hop.ParseResponseMeta(h.Get(hop.Header)); err == nil {
				g.board.RecordLoad(t.node.Name, reply.Load, time.Now())
			}
		},
	}
	if q.length < 0 || q.length > waitBody {
		call.Wait, call.Silence = true, 0
	}
	ans, err := g.peers.Do(ctx, call)
	if err == nil {
		t.res = g.peerResult(ans)
		return
	}
	var f *exchange.StageError
	switch {
	case errors.As(err, &f) && f.Stage == exchange.NotSent:
		t.res = result{reply: hop.ResponseMeta{RejectReason: lostNode}, failure: err}
	case ctx.Err() != nil || ask.Kind == routes.Safe:
		g.peers.Drop(t.node.Addr)
		t.res = result{failure: err}
	default:
		g.peers.Drop(t.node.Addr)
		g.log.Warn().Str("request", q.id).Str("exchange", ask.ExchangeID).Str("node", t.node.Name).Err(err).Msg("connection to the node lost; asking for the outcome")
		t.res = g.resolveLost(ctx, t, ask.ExchangeID, err)
	}
}

// peerResult reads the answer of another node.
func (g *Gateway) peerResult(ans *exchange.Answer) result {
	reply, err := hop.ParseResponseMeta(ans.Header.Get(hop.Header))
	switch {
	case err != nil:
		ans.Close()
		return result{failure: err}
	case reply.RejectReason != "":
		ans.Close()
		return result{reply: reply}
	case reply.ExchangeFailed:
		ans.Close()
		return result{reply: reply, failure: errPeerFailed}
	}
	return result{reply: reply, ans: ans}
}

var errPeerFailed = errors.New("the exchange with the upstream failed at its node")

// resolveLost asks the node what became of a request whose connection was lost.
// Only the process that was sent the request knows: another one that runs there
// now proves nothing.
func (g *Gateway) resolveLost(ctx context.Context, t *try, id string, cause error) result {
	known := g.epochs.get(t.node.Name)
	ctx, cancel := context.WithTimeout(ctx, resolveTime)
	defer cancel()
	deadline, _ := ctx.Deadline()
	ans, err := g.peers.Do(ctx, &exchange.Call{
		Addr: t.node.Addr, Method: http.MethodGet, Target: hop.ResolvePath + id, Host: t.node.Addr,
		Header: http.Header{}, Deadline: deadline, Fresh: true,
	})
	g.log.Info().Str("exchange", id).Str("node", t.node.Name).Bool("answered", err == nil).Str("epoch", known).Msg("outcome of a lost exchange asked")
	if err != nil {
		return result{failure: cause}
	}
	res := g.peerResult(ans)
	if known == "" || res.reply.Epoch != known {
		res.ans.Close()
		return result{failure: cause}
	}
	return res
}
