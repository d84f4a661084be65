package accounts

import (
	"crypto/sha256"
	"math"

	"github.com/cockroachdb/errors"
)

// digest identifies a key. A collision of 16 bytes of SHA-256 is not a practical concern.
type digest [16]byte

func digestOf(key string) digest {
	sum := sha256.Sum256([]byte(key))
	return digest(sum[:16])
}

// Table is the set of accounts of one version of the configuration.
type Table struct {
	byName map[string]*Account
	byKey  map[digest]*Account
}

// NewTable returns a table of the accounts, or an error that names the first invalid one. The error
// contains no key.
func NewTable(list []Definition) (*Table, error) {
	n := 0
	for i := range list {
		n += len(list[i].Keys)
	}
	t := &Table{byName: make(map[string]*Account, len(list)), byKey: make(map[digest]*Account, n)}
	for i := range list {
		if err := t.add(&list[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Table) add(d *Definition) error {
	switch {
	case d.Name == "":
		return errors.New("an account has no name")
	case t.byName[d.Name] != nil:
		return errors.Newf("account %q is defined twice", d.Name)
	case d.Priority < 0:
		return errors.Newf("account %q: priority %d is negative", d.Name, d.Priority)
	case !isLimit(d.Rate):
		return errors.Newf("account %q: rate %g is not a limit", d.Name, d.Rate)
	case !isLimit(d.Burst):
		return errors.Newf("account %q: burst %g is not a limit", d.Name, d.Burst)
	}
	a := d.Account
	t.byName[a.Name] = &a
	for i, key := range d.Keys {
		if key == "" {
			return errors.Newf("account %q: key %d is empty", a.Name, i+1)
		}
		k := digestOf(key)
		if other := t.byKey[k]; other != nil {
			return errors.Newf("account %q: key %d is also held by account %q", a.Name, i+1, other.Name)
		}
		t.byKey[k] = &a
	}
	return nil
}

func isLimit(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Lookup returns the account that holds a key.
func (t *Table) Lookup(key string) (*Account, bool) {
	if key == "" {
		return nil, false
	}
	a, ok := t.byKey[digestOf(key)]
	return a, ok
}

// Account returns the account of a name.
func (t *Table) Account(name string) (*Account, bool) {
	a, ok := t.byName[name]
	return a, ok
}

// All returns the accounts by name. The caller must not change the map.
func (t *Table) All() map[string]*Account { return t.byName }
