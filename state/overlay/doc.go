// Package overlay holds the configuration of a deployment: one base file and
// one overlay for each site.
package overlay
