package quotas_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
	"github.com/mulberrylink/mulberrylink/protocol/quotas"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// host is a control host. While it leads, it grants what is needed up to limit tokens in all.
type host struct {
	addr     string
	leads    atomic.Bool
	frozen   atomic.Bool
	leader   atomic.Pointer[string]
	messages atomic.Int64
	limit    atomic.Int64
	thaw     chan struct{}
}

func (h *host) Draw(_ context.Context, _ uint32, asks []quota.Ask) ([]quota.Grant, bool) {
	if h.frozen.Load() {
		<-h.thaw
	}
	if !h.leads.Load() {
		return nil, false
	}
	h.messages.Add(1)
	var grants []quota.Grant
	for _, a := range asks {
		g := quota.Grant{Account: a.Account, Tokens: int(min(int64(a.Need), h.limit.Load()))}
		if h.limit.Add(-int64(g.Tokens)); g.Tokens < a.Need {
			g.RetryAfter = time.Minute
		}
		grants = append(grants, g)
	}
	return grants, true
}

func (h *host) LeaderAddr() string {
	if h.leads.Load() {
		return ""
	}
	return *h.leader.Load()
}

func newHost(t testing.TB) *host {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &host{addr: lis.Addr().String(), thaw: make(chan struct{})}
	h.limit.Store(1 << 20)
	h.leader.Store(new(string))
	s := rpc.NewServer(nil)
	server := quotas.NewServer(h, rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second, IdlePerAddr: 4}))
	s.Handle(server.Method())
	s.Handle(server.RelayMethod())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, lis) }()
	t.Cleanup(func() { cancel(); close(h.thaw); <-done })
	return h
}

// newClient returns a running client of the hosts.
func newClient(t testing.TB, hosts ...*host) *quotas.Client {
	return newClientWith(t, rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), hosts...)
}

func newClientWith(t testing.TB, d quotas.Dialer, hosts ...*host) *quotas.Client {
	c := quotas.NewClient(quotas.ClientConfig{
		Dialer: d, Log: &log.Logger{Level: log.FatalLevel},
		Hosts: func() (addrs []string) {
			for _, h := range hosts {
				addrs = append(addrs, h.addr)
			}
			return addrs
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

const (
	long      = 5 * time.Second // longer than any test waits
	shortWait = 50 * time.Millisecond
)

func acquire(c *quotas.Client, account string) quota.Verdict {
	return c.Acquire(context.Background(), account, long).Verdict
}

// Guards against a node that does not find the leader through another control host, and against messages
// without requests or one for each request that is refused.
func TestRedirectAndFewMessages(t *testing.T) {
	is := is.New(t)
	a, b := newHost(t), newHost(t)
	b.leads.Store(true)
	a.leader.Store(&b.addr)
	c := newClient(t, a, b)
	is.Equal(acquire(c, "first"), quota.Granted)
	is.Equal(a.messages.Load(), int64(0))
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() { is.Equal(acquire(c, fmt.Sprint("account-", i)), quota.Granted) })
	}
	wg.Wait()
	is.True(b.messages.Load() < 50) // many accounts share a message
	b.limit.Store(0)
	is.Equal(acquire(c, "over"), quota.OverQuota)
	before := b.messages.Load()
	for range 1000 {
		is.Equal(acquire(c, "over"), quota.OverQuota)
	}
	time.Sleep(100 * time.Millisecond)
	is.Equal(b.messages.Load(), before)
}

// Guards against requests that wait for a frozen leader, and a node that goes back to it instead of finding
// the new one.
func TestFrozenLeader(t *testing.T) {
	is := is.New(t)
	a, b := newHost(t), newHost(t)
	a.leads.Store(true)
	b.leader.Store(&a.addr)
	c := newClient(t, a, b)
	is.Equal(acquire(c, "x"), quota.Granted)
	a.frozen.Store(true)
	start := time.Now()
	waiting := make(chan quota.Verdict, 1)
	go func() { waiting <- acquire(c, "x") }()
	for refusedAt := time.Now(); ; refusedAt = time.Now() {
		if acquireNow(c, "y") == quota.NoQuota && time.Since(refusedAt) < shortWait/2 {
			break // the loss is noticed, and requests are refused at once
		}
		is.True(time.Since(start) < 2*time.Second)
	}
	b.leads.Store(true)
	is.Equal(<-waiting, quota.Granted)
	is.True(time.Since(start) < 4*time.Second)
	for acquireNow(c, "y") != quota.Granted {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(b.messages.Load() > 0)
}

// acquireNow does not wait for an ask to be answered for longer than a usual request does.
func acquireNow(c *quotas.Client, account string) quota.Verdict {
	return c.Acquire(context.Background(), account, shortWait).Verdict
}

// brokenLink is a dialer that cannot reach one address.
type brokenLink struct {
	quotas.Dialer
	addr  string
	tried atomic.Int64
}

func (d *brokenLink) Dial(ctx context.Context, addr string) (drpc.Conn, error) {
	if addr == d.addr {
		d.tried.Add(1)
		return nil, net.ErrClosed
	}
	return d.Dialer.Dial(ctx, addr)
}

// Guards against a node that gets no tokens because only its own path to the leader is broken.
func TestRelay(t *testing.T) {
	is := is.New(t)
	a, b := newHost(t), newHost(t)
	a.leads.Store(true)
	b.leader.Store(&a.addr)
	link := &brokenLink{Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), addr: a.addr}
	c := newClientWith(t, link, a, b)
	is.Equal(acquire(c, "x"), quota.Granted)
	for range 20 {
		is.Equal(acquire(c, "x"), quota.Granted)
	}
	is.Equal(link.tried.Load(), int64(1))
	is.Equal(b.messages.Load(), int64(0))
}

// Guards against a node that does not come back to the only control host after that was unreachable, or had
// no leader for some time.
func TestNoLeaderForSomeTime(t *testing.T) {
	is := is.New(t)
	a := newHost(t)
	c := newClient(t, a)
	is.Equal(acquireNow(c, "x"), quota.NoQuota)
	time.Sleep(500 * time.Millisecond)
	a.leads.Store(true)
	end := time.Now().Add(long)
	for acquireNow(c, "x") != quota.Granted {
		is.True(time.Now().Before(end))
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a node that stays with a control host that knows no leader, since it is cut off from the
// others, while another control host leads.
func TestHostWithoutLeaderIsLeft(t *testing.T) {
	is := is.New(t)
	cutOff, old, leader := newHost(t), newHost(t), newHost(t)
	leader.leads.Store(true)
	old.leader.Store(&cutOff.addr) // has not noticed yet that it is cut off as well
	start := time.Now()
	is.Equal(acquire(newClient(t, cutOff, old, leader), "a"), quota.Granted)
	is.True(time.Since(start) < 2*time.Second) // a new leader is used within the time of an election
}
