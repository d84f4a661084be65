// Package overlay builds the configuration of a deployment from one base file, which declares the
// services, routes and failure domains, and one overlay file for each site.
//
// An overlay can only set keys of the services, routes and domains that the base file declares. The
// merged result is validated as a whole. Every problem is reported with its file, line, section and
// key.
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
// Merge applies the overlays to the base file:
//
//	cfg, err := overlay.Merge(base, overlays)
//	if err != nil {
//		return err // all problems, one per line
//	}
//	raw := overlay.Encode(cfg)
//
// Encode returns equal bytes for equal configurations. Keys lists all keys with their units,
// defaults and limits.
package overlay
