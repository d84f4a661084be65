package main

import (
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

// nodeSettings holds the settings file of a node.
type nodeSettings struct {
	Node struct {
		Name   string `ini:"name" required:"true"`
		Domain string `ini:"domain" required:"true"`
	} `ini:"node"`
	Listen struct {
		Front string `ini:"front" required:"true"`
		RPC   string `ini:"rpc" required:"true"`
		Admin string `ini:"admin" required:"true"`
	} `ini:"listen"`
	Control struct {
		Hosts []string `ini:"hosts"`
	} `ini:"control"`
	Peers struct {
		Seeds []string `ini:"seeds"`
	} `ini:"peers"`
	Log struct {
		Level string `ini:"level" default:"info" oneof:"debug,info,warn,error"`
	} `ini:"log"`
	Limits struct {
		// Header is the maximum size of a request header in bytes.
		Header int `ini:"header" default:"65536" min:"4096" max:"1048576"`
		// Keyed is the maximum body size of a request with an idempotency key, in bytes.
		Keyed int `ini:"keyed" default:"1048576" min:"1" max:"8388608"`
		// Connections is the maximum number of connections from callers.
		Connections int `ini:"connections" default:"10000" min:"1" max:"1000000"`
		// Depth is the maximum depth of nested calls.
		Depth int `ini:"depth" default:"64" min:"1" max:"1000"`
		// Dial is the timeout for connecting to another node or to a control host.
		Dial time.Duration `ini:"dial" default:"500ms" min:"10ms" max:"10s"`
		// Idle is the maximum number of idle connections to one node.
		Idle int `ini:"idle" default:"32" min:"1" max:"1024"`
	} `ini:"limits"`
	Measure struct {
		Policy string `ini:"policy" default:"adaptive" oneof:"adaptive,random,roundrobin,leastloaded,twochoices"`
	} `ini:"measure"`
}

func loadSettings(path string) (*nodeSettings, error) {
	var cfg nodeSettings
	if err := settings.Load(path, &cfg); err != nil {
		return nil, err
	}
	var problems []error
	checkAddrs := func(section, key string, addrs ...string) {
		for _, addr := range addrs {
			if err := checkAddr(addr); err != nil {
				problems = append(problems, fmt.Errorf("%s: section %q key %q: %w", path, section, key, err))
			}
		}
	}
	checkAddrs("listen", "front", cfg.Listen.Front)
	checkAddrs("listen", "rpc", cfg.Listen.RPC)
	checkAddrs("listen", "admin", cfg.Listen.Admin)
	checkAddrs("control", "hosts", cfg.Control.Hosts...)
	checkAddrs("peers", "seeds", cfg.Peers.Seeds...)
	return &cfg, errors.Join(problems...)
}

// checkAddr returns an error unless addr is an IP address with a port. Host names are not allowed,
// because the processes don't use DNS.
func checkAddr(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not an address with a port", addr)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q does not start with an IP address", addr)
	}
	return nil
}
