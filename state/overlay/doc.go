// Package overlay holds the configuration of a deployment: one base file that
// describes services, routes and failure domains, and one overlay file for
// each site.
//
// An overlay may change keys of the services, routes and domains that the base
// file declares and nothing else. The result is validated as a whole, and every
// problem is reported with its file, line, section and key.
//
// # Usage
//
// A base file has three kinds of sections:
//
//	[service registry]
//	timeout = 2s
//
//	[route registry POST /filings]
//	keyed = true
//
//	[domain d1]
//	region = delta
//
// An overlay changes some of them:
//
//	[domain d1]
//	state = out
//
// Merge puts both together:
//
//	cfg, err := overlay.Merge(base, overlays)
//	if err != nil {
//		return err // every problem, one a line
//	}
//	raw := overlay.Encode(cfg)
//
// Equal configurations have equal bytes. Keys lists every key with its unit,
// default and limits.
package overlay
