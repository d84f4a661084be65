// Package accounts holds the client accounts of a configuration. A caller shows a key, and the account
// that holds the key decides the priority and the rate limit of its requests.
//
// A Table is immutable and is built with each new version of the configuration. It stores digests of
// the keys: the keys themselves are in the document that the table is built from, and a second copy of
// 100,000 keys would only take memory.
//
// # Usage
//
//	t, err := accounts.NewTable([]accounts.Definition{
//		{Account: accounts.Account{Name: "north", Rate: 124, Burst: 124}, Keys: []string{key}},
//	})
//	a, ok := t.Lookup(key)
package accounts

// Account is a client account.
type Account struct {
	// Name is unique in the configuration.
	Name string
	// Priority is the priority of the account's requests; 0 is the highest.
	Priority int
	// Rate is the limit of requests per second over all nodes, and Burst the number of requests
	// beyond it at once. A rate of 0 is no limit.
	Rate, Burst float64
}

// Limited reports whether the account has a rate limit.
func (a *Account) Limited() bool { return a.Rate > 0 }

// Definition is an account with the keys that its callers show.
type Definition struct {
	Account
	Keys []string
}
