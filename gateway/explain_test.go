package gateway_test

import (
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/accounts"
)

func (n *node) explain(path, account string) string {
	w := httptest.NewRecorder()
	query := url.Values{"host": {"shop"}, "path": {path}, "account": {account}}
	n.g.ExplainHandler().ServeHTTP(w, httptest.NewRequest("GET", "/explain?"+query.Encode(), nil))
	return w.Body.String()
}

// Guards against an explanation that sends a request, names another upstream than the one that is chosen, or
// leaves out why others are not.
func TestExplain(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	d.useAccounts(accounts.Definition{Account: accounts.Account{Name: "north", Rate: 10, Burst: 10}, Keys: []string{"key-1"}})
	near, far := d.addNode("n1", "d1", "archive", 4), d.addNode("n2", "d2", "archive", 4)
	for _, n := range []*node{near, far} {
		waitFor(t, 5*time.Second, "first response", func() bool { return n.sendWithKey("PUT", "/put/0", "first", "").status == 200 })
	}
	waitFor(t, 5*time.Second, "both upstreams known", func() bool { return knowsUp(near) && strings.Contains(near.explain("/put/1", ""), "rank=2 node=n2") })
	before := near.upstream.totalRuns() + far.upstream.totalRuns()
	text := near.explain("/read/1", "north")
	is.True(strings.Contains(text, "request version=1 route=read kind=safe"))
	is.True(strings.Contains(text, `account name="north" priority=0 rate=10 burst=10`))
	is.True(strings.Contains(text, "upstream rank=1 node=n1 domain=d1 why=chosen"))
	is.True(strings.Contains(near.explain("/read/1", "south"), "refused status=401 reason=unknownkey"))
	is.True(strings.Contains(near.explain("/none/1", "north"), "refused status=404 reason=noroute"))
	d.setDomainOut("d2", true)
	waitFor(t, 5*time.Second, "domain out", func() bool {
		return strings.Contains(near.explain("/read/1", "north"), "excluded node=n2 domain=d2 why=domainout")
	})
	is.Equal(near.upstream.totalRuns()+far.upstream.totalRuns(), before)
}
