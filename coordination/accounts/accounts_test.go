package accounts_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/accounts"
)

func define(name string, keys ...string) accounts.Definition {
	return accounts.Definition{Account: accounts.Account{Name: name, Rate: 1, Burst: 1}, Keys: keys}
}

// Guards against a key that leads to another account, or to one that it was taken from.
func TestLookup(t *testing.T) {
	is := is.New(t)
	table, err := accounts.NewTable([]accounts.Definition{define("a", "k1", "k2"), define("b", "k3"), define("none")})
	is.NoErr(err)
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		a, ok := table.Lookup(key)
		is.True(ok)
		is.Equal(a.Name, want)
	}
	for _, key := range []string{"", "k4", "K1"} {
		_, ok := table.Lookup(key)
		is.True(!ok)
	}
}

// Guards against an accepted configuration in which a key identifies two accounts, or a limit has no
// meaning, and against an error that shows a key.
func TestInvalidAccounts(t *testing.T) {
	with := func(change func(*accounts.Definition)) []accounts.Definition {
		d := define("second", "k2")
		change(&d)
		return []accounts.Definition{define("first", "secret"), d}
	}
	for want, list := range map[string][]accounts.Definition{
		"no name":              with(func(d *accounts.Definition) { d.Name = "" }),
		`"first" is defined`:   with(func(d *accounts.Definition) { d.Name = "first" }),
		"also held by account": with(func(d *accounts.Definition) { d.Keys = []string{"secret"} }),
		"key 2 is also held":   with(func(d *accounts.Definition) { d.Keys = []string{"k2", "k2"} }),
		"key 1 is empty":       with(func(d *accounts.Definition) { d.Keys = []string{""} }),
		"rate -1":              with(func(d *accounts.Definition) { d.Rate = -1 }),
		"rate NaN":             with(func(d *accounts.Definition) { d.Rate = math.NaN() }),
		"burst -2":             with(func(d *accounts.Definition) { d.Burst = -2 }),
		"priority -1":          with(func(d *accounts.Definition) { d.Priority = -1 }),
	} {
		_, err := accounts.NewTable(list)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "secret") {
			t.Errorf("error %v, want one with %q and without the key", err, want)
		}
	}
}

// BenchmarkLookup measures the cost of a look-up for each request, with 100,000 keys.
func BenchmarkLookup(b *testing.B) {
	var list []accounts.Definition
	for i := range 10_000 {
		d := define(fmt.Sprint("account-", i))
		for j := range 10 {
			d.Keys = append(d.Keys, fmt.Sprintf("key-%d-%d-0123456789", i, j))
		}
		list = append(list, d)
	}
	table, err := accounts.NewTable(list)
	if err != nil {
		b.Fatal(err)
	}
	key := list[777].Keys[3]
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Lookup(key); !ok {
			b.Fatal("key not found")
		}
	}
}
