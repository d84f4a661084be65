package main

import (
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

// maxMembers is the maximum number of control hosts in a group.
const maxMembers = 7

// controlSettings is the settings file of a control host with its parsed list of members.
type controlSettings struct {
	settingsFile
	members []member
}

// settingsFile is the content of the settings file.
type settingsFile struct {
	Control struct {
		Name    string   `ini:"name" required:"true"`
		Domain  string   `ini:"domain" required:"true"`
		Data    string   `ini:"data" required:"true"`
		Members []string `ini:"members" required:"true"`
	} `ini:"control"`
	Listen struct {
		RPC   string `ini:"rpc" required:"true"`
		Admin string `ini:"admin" required:"true"`
	} `ini:"listen"`
	Log struct {
		Level string `ini:"level" default:"info" oneof:"debug,info,warn,error"`
	} `ini:"log"`
}

// member is one item of the setting members, which lists the initial members of the group.
type member struct {
	id   uint64
	name string
	addr string
}

func loadSettings(path string) (controlSettings, error) {
	var cfg controlSettings
	f, err := settings.Read(path)
	if err != nil {
		return cfg, err
	}
	if err := settings.Decode(f, &cfg.settingsFile); err != nil {
		return cfg, err
	}
	cfg.members, err = parseMembers(cfg.Control.Members)
	if err == nil && !slices.ContainsFunc(cfg.members, func(m member) bool { return m.name == cfg.Control.Name }) {
		err = errors.Newf("name %q is not among the members", cfg.Control.Name)
	}
	if err != nil {
		return cfg, membersError(f, err)
	}
	return cfg, nil
}

// membersError returns err as a settings.KeyError at the position of the setting members.
func membersError(f *settings.File, err error) error {
	keyErr := &settings.KeyError{File: f.Name, Section: "control", Key: "members", Text: err.Error()}
	section, _ := f.Section("control")
	for _, k := range section.Keys {
		if k.Name == keyErr.Key {
			keyErr.Line = k.Line
		}
	}
	return keyErr
}

func parseMembers(items []string) ([]member, error) {
	if len(items) > maxMembers {
		return nil, errors.Newf("%d members exceed the maximum of %d", len(items), maxMembers)
	}
	var members []member
	for _, item := range items {
		name, addr, ok := strings.Cut(item, "@")
		if !ok || name == "" {
			return nil, errors.Newf("%q is not of the form name@host:port", item)
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, errors.Newf("%q: address %q is not of the form host:port", item, addr)
		}
		if slices.ContainsFunc(members, func(m member) bool { return m.name == name || m.addr == addr }) {
			return nil, errors.Newf("%q has the name or the address of another member", item)
		}
		members = append(members, member{id: initialMemberID(name), name: name, addr: addr})
	}
	return members, nil
}

// initialMemberID derives the identity of an initial member from its name. A host that is added
// later has a random identity.
func initialMemberID(name string) uint64 { return xxhash.Sum64String(name) }

func (c *controlSettings) self() member {
	i := slices.IndexFunc(c.members, func(m member) bool { return m.name == c.Control.Name })
	return c.members[i]
}
