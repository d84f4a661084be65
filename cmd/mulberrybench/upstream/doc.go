// Package upstream simulates an upstream, the application server that a node sends requests to.
// It has a limited number of slots and connections, queues the requests that exceed its slots as
// real servers do, has a cold start, drains, sheds load, and announces itself to its node. Its load
// and health endpoints can lag or report false values. Request headers control how it handles one
// request, see Help.
//
// # Usage
//
//	var cfg upstream.Settings
//	err := settings.Load("upstream-registry-1.ini", &cfg)
//	s, err := upstream.New(cfg, logger)
//	err = s.Run(ctx) // serves until ctx ends, then completes the requests in flight
//
// The server sleeps for the service time instead of computing, so that many upstreams fit on one
// machine; docs/decisions/bench.md lists the other differences from a real server.
package upstream

import "time"

// Help describes the request headers and the control endpoints.
const Help = `Routes: every path of the service; PUT stores the body in memory and responds
with its size and checksum; GET of a stored path returns the stored body.

Request headers:
  Upstream-Service-Time: 20ms   service time of this request, instead of a drawn one
  Upstream-Bytes: N             size of the response body
  Upstream-Status: N            status of the response
  Upstream-Stall: 2s            extra delay before the response
  Upstream-Cut: N               cut the connection after N bytes of the response
  Upstream-Endless: PART        send PART without end until the connection closes: line (one
                                header line), head (header lines), interim (1xx responses),
                                body (no length) or chunks
  Upstream-Crash: true          exit without a response once the execution has started
  Upstream-Call: [SERVICE]/PATH make a nested GET through the own node first
  Upstream-Token: WORD          echoed; the response body repeats it
  Mulberry-Timeout: MS          cancel the request after so many milliseconds

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

// Settings configures one simulated upstream.
type Settings struct {
	Upstream struct {
		Name    string `ini:"name" required:"true"`
		Service string `ini:"service" required:"true"`
		// Domain is informational; the failure domain of the node applies.
		Domain string `ini:"domain"`
		// Slots is the maximum number of requests that run at a time.
		Slots int `ini:"slots" default:"6" min:"1" max:"10000"`
		// Connections is the number of open connections above which new ones are closed
		// immediately.
		Connections int `ini:"connections" default:"200" min:"1"`
		// Shed is the queue length at which further requests are shed; 0 disables shedding.
		Shed int `ini:"shed" default:"64" min:"0"`
	} `ini:"upstream"`
	Listen struct {
		HTTP string `ini:"http" required:"true"`
	} `ini:"listen"`
	Node struct {
		// Admin is the address that announcements are sent to; empty sends none.
		Admin string `ini:"admin"`
		// Front is the address that nested calls are sent to.
		Front string        `ini:"front"`
		TTL   time.Duration `ini:"ttl" default:"3s" min:"100ms" max:"1m"`
	} `ini:"node"`
	Work struct {
		Distribution string        `ini:"distribution" default:"lognormal" oneof:"constant,exponential,lognormal"`
		Mean         time.Duration `ini:"mean" default:"40ms" min:"0s" max:"1m"`
		// Sigma is the shape parameter of the lognormal distribution.
		Sigma float64 `ini:"sigma" default:"0.5" min:"0" max:"3"`
		Seed  uint64  `ini:"seed" default:"1"`
	} `ini:"work"`
	Cold  ColdSettings `ini:"cold"`
	Store struct {
		// Bytes bounds the memory that uploaded bodies occupy.
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

// ColdSettings configures the cold start.
type ColdSettings struct {
	// Duration is the time after which the cold start ends; 0 disables cold starts.
	Duration time.Duration `ini:"for" default:"2s" min:"0s" max:"10m"`
	// Completions is the number of completed requests after which the cold start ends; 0 leaves
	// only Duration.
	Completions int `ini:"completions" default:"40" min:"0"`
	// Slots is the number of concurrent requests above which a cold upstream is overloaded.
	Slots int `ini:"slots" default:"2" min:"1"`
	// Factor multiplies the service times of a cold upstream.
	Factor float64 `ini:"factor" default:"2" min:"1"`
	// OnOverload is the reaction to an overload: crash exits, error responds with 500 for the time
	// Stall, none ignores it.
	OnOverload string `ini:"fall" default:"error" oneof:"crash,error,none"`
	// Stall is how long an overloaded upstream responds to every request with 500.
	Stall time.Duration `ini:"stall" default:"1s" min:"0s" max:"1m"`
	// Announced makes a cold upstream announce the state cold; otherwise it announces ready.
	Announced bool `ini:"announced" default:"true"`
}
