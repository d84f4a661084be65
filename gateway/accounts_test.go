package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/accounts"
)

// useAccounts gives the configuration of a deployment, before any node starts, client accounts and makes
// the route of uploads public.
func (d *deployment) useAccounts(list ...accounts.Definition) {
	d.t.Helper()
	table, err := accounts.NewTable(list)
	if err != nil {
		d.t.Fatal(err)
	}
	d.table.Accounts = table
	d.table.Match("shop", "/put/").Public = true
}

// sendWithKey sends a request with a key, and with a false name of an account.
func (n *node) sendWithKey(method, path, id, key string) response {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.outbound+path, strings.NewReader(""))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		r.Header.Set("Test-Key", key)
	}
	r.Header.Set("Test-Account", "false")
	return sendRequest(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, r, id, 2*time.Second)
}

// Guards against a request that runs without a known key, against a key that reaches an upstream, and
// against the name of an account that a caller states itself.
func TestAccountsAndKeys(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	d.useAccounts(accounts.Definition{Account: accounts.Account{Name: "north; 1"}, Keys: []string{"key-1"}})
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	for _, n := range []*node{entry, other} { // one forwards, the other has the upstream beside it
		waitFor(t, 5*time.Second, "first response", func() bool { return n.sendWithKey("GET", "/read/0", "first", "key-1").status == http.StatusOK })
		for _, key := range []string{"", "key-2"} {
			resp := n.sendWithKey("GET", "/read/1", "refused", key)
			is.Equal(resp.status, http.StatusUnauthorized)
			is.Equal(resp.header.Get("Mulberry-Reason"), "unknownkey")
			is.Equal(resp.header.Get("Mulberry-Outcome"), "notrun")
		}
		is.Equal(other.upstream.runsOf("refused"), 0)
		for _, c := range []struct{ method, path, key, account string }{
			{"GET", "/read/1", "key-1", "north; 1"}, {"PUT", "/put/1", "key-1", "north; 1"}, {"PUT", "/put/1", "key-2", ""}, {"PUT", "/put/1", "", ""},
		} {
			is.Equal(n.sendWithKey(c.method, c.path, "k", c.key).status, http.StatusOK)
			is.Equal(other.upstream.header().Get("Test-Account"), c.account)
			is.Equal(other.upstream.header().Get("Test-Key"), "")
		}
	}
}

// Guards against a node without a configuration that refuses a caller with a valid key for good.
func TestKeysWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWithoutConfig(t)
	n := d.addNode("n1", "d1", "archive", 4)
	waitFor(t, 5*time.Second, "refusal", func() bool { return n.sendWithKey("GET", "/read/1", "k", "key-1").err == nil })
	resp := n.sendWithKey("GET", "/read/1", "k", "key-1")
	is.Equal(resp.status, http.StatusServiceUnavailable)
	is.Equal(resp.header.Get("Mulberry-Reason"), "noconfig")
}

// Guards against headers of callers that are taken for keys where the configuration has no accounts.
func TestNoAccountsInConfiguration(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	is.Equal(n.sendWithKey("GET", "/read/1", "k", "key-1").status, http.StatusOK)
	is.Equal(n.upstream.header().Get("Test-Key"), "key-1")
	is.Equal(n.upstream.header().Get("Test-Account"), "false")
}
