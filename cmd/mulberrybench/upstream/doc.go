// Package upstream simulates the server that a node stands beside. It has a
// limited number of slots and connections, queues what exceeds the slots as
// real servers do, starts cold, drains, sheds load, answers load and health
// endpoints that may lag or report false values, and announces itself to its
// node. What it does with one request can be set by request headers, see Help.
//
// # Usage
//
//	var cfg upstream.Settings
//	err := settings.Load("upstream-registry-1.ini", &cfg)
//	s, err := upstream.New(cfg, logger)
//	err = s.Run(ctx) // until ctx ends, then finishes the running requests
//
// The service time is slept, not computed, so that many upstreams fit on one
// machine; docs/decisions/bench.md lists what else differs from a real server.
package upstream

import "time"

// Help describes the request headers and the control endpoints.
const Help = `Routes: every path of the service; PUT stores the body in memory and answers
with its size and checksum, GET of a stored path answers the stored body.

Request headers:
  Upstream-Service-Time: 20ms   service time of this request, instead of a drawn one
  Upstream-Bytes: N             size of the answer body
  Upstream-Status: N            status of the answer
  Upstream-Stall: 2s            extra wait before the answer
  Upstream-Cut: N               cut the connection after N bytes of the answer
  Upstream-Crash: true          exit without an answer once the execution has started
  Upstream-Call: [SERVICE]/PATH make a nested GET through the own node first
  Upstream-Token: WORD          echoed; the answer body repeats it
  Mulberry-Timeout: MS          give up after so many milliseconds

Control endpoints (not journaled, need no slot):
  GET  /load                    inflight, queued and slots as JSON
  GET  /health                  200 or 503
  GET  /control/stats           counters as JSON
  POST /control/drain           announce draining (also on SIGUSR1)
  POST /control/undrain         announce ready again
  POST /control/slow            form factor=5 for=2s: multiply service times
  POST /control/cold            return to cold start without a restart; with the
                                form announced=false still announce ready
  POST /control/report          form load=true|idle|busy|random lag=2s health=true|up|down`

// Settings are the settings of one simulated upstream.
type Settings struct {
	Upstream struct {
		Name    string `ini:"name" required:"true"`
		Service string `ini:"service" required:"true"`
		// Domain is only recorded; the node's own domain counts.
		Domain string `ini:"domain"`
		// Slots is the number of requests that run at a time.
		Slots int `ini:"slots" default:"6" min:"1" max:"10000"`
		// Connections is the number of open connections above which new
		// ones are closed at once.
		Connections int `ini:"connections" default:"200" min:"1"`
		// Shed is the queue length above which requests are shed; 0 never
		// sheds.
		Shed int `ini:"shed" default:"64" min:"0"`
	} `ini:"upstream"`
	Listen struct {
		HTTP string `ini:"http" required:"true"`
	} `ini:"listen"`
	Node struct {
		// Admin is the address that announcements go to; empty for none.
		Admin string `ini:"admin"`
		// Front is the address that nested calls go to.
		Front string        `ini:"front"`
		TTL   time.Duration `ini:"ttl" default:"3s" min:"100ms" max:"1m"`
	} `ini:"node"`
	Work struct {
		Distribution string        `ini:"distribution" default:"lognormal" oneof:"constant,exponential,lognormal"`
		Mean         time.Duration `ini:"mean" default:"40ms" min:"0s" max:"1m"`
		// Sigma is the shape of the lognormal distribution.
		Sigma float64 `ini:"sigma" default:"0.5" min:"0" max:"3"`
		Seed  uint64  `ini:"seed" default:"1"`
	} `ini:"work"`
	Cold  ColdSettings `ini:"cold"`
	Store struct {
		// Bytes bounds the memory that uploaded bodies use.
		Bytes int `ini:"bytes" default:"67108864" min:"0"`
	} `ini:"store"`
	Report struct {
		Lag    time.Duration `ini:"lag" default:"500ms" min:"0s" max:"10s"`
		Load   string        `ini:"load" default:"true" oneof:"true,idle,busy,random"`
		Health string        `ini:"health" default:"true" oneof:"true,up,down"`
	} `ini:"report"`
	Journal struct {
		File string `ini:"file"`
	} `ini:"journal"`
	Log struct {
		Level string `ini:"level" default:"info" oneof:"debug,info,warn,error"`
	} `ini:"log"`
}

// ColdSettings describe a cold start.
type ColdSettings struct {
	// Duration ends the cold start after a time.
	Duration time.Duration `ini:"for" default:"2s" min:"0s" max:"10m"`
	// Completions end the cold start after so many requests; 0 for none.
	Completions int `ini:"completions" default:"40" min:"0"`
	// Slots is the number of requests that run at a time without harm.
	Slots int `ini:"slots" default:"2" min:"1"`
	// Factor multiplies service times.
	Factor float64 `ini:"factor" default:"2" min:"1"`
	// OnOverload is what happens when more requests run.
	OnOverload string `ini:"fall" default:"error" oneof:"crash,error,none"`
	// Stall is how long an upstream that fell answers 500 only.
	Stall time.Duration `ini:"stall" default:"1s" min:"0s" max:"1m"`
	// Announced is false for an upstream that does not tell its node.
	Announced bool `ini:"announced" default:"true"`
}
