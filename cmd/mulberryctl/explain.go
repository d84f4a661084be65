package main

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/state/settings"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain a reason, an outcome, a key of the configuration, or where a request would go now",
		ArgsUsage: "[WORD]",
		ArgValidator: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() > 1 {
				return &exitError{code: exitUsage, text: "explain takes at most one argument"}
			}
			return nil
		},
		Description: "Without an argument, prints all explanations. With --node, asks a node of the platform at its metrics " +
			"address where a request would go and why, without sending it.\n\n" +
			"Examples:\n  mulberryctl explain domainout\n  mulberryctl explain notrun\n  mulberryctl explain keyttl\n" +
			"  mulberryctl explain --node 127.0.0.1:7395 --host shop.example --path /orders/7 --account north",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "metrics address of the entry `NODE`"},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Value: "/"},
			&cli.StringFlag{Name: "account", Usage: "`NAME` of the client account whose key the request shows"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if node := cmd.String("node"); node != "" {
				return explainRequest(ctx, cmd, node)
			}
			return explain(cmd, cmd.Args().First())
		},
	}
}

// explainTimeout bounds the question to a node, which answers from its memory.
const explainTimeout = 3 * time.Second

// explainRequest prints what a node answers about a request that is not sent.
func explainRequest(ctx context.Context, cmd *cli.Command, node string) error {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	query := url.Values{"host": {cmd.String("host")}, "path": {cmd.String("path")}, "account": {cmd.String("account")}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/explain?"+query.Encode(), nil)
	if err != nil {
		return &exitError{code: exitUsage, text: err.Error()}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return &exitError{code: exitUnavailable, text: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &exitError{code: exitUnavailable, text: "the node answers " + resp.Status}
	}
	_, err = io.Copy(cmd.Root().Writer, resp.Body)
	return err
}

func explain(cmd *cli.Command, word string) error {
	found := false
	var known []string
	show := func(name string, pairs ...any) {
		known = append(known, name)
		if word == "" || word == name {
			found = true
			printLine(cmd, pairs...)
		}
	}
	for _, o := range outcomes {
		show(o.name, "outcome", o.name, "text", o.text)
	}
	for _, r := range mulberrylink.Reasons() {
		show(r.String(), "reason", r, "text", reasons[r])
	}
	for r, text := range memberReasons {
		name := controlplane.MemberReason(r).String()
		show(name, "members", name, "text", text)
	}
	for _, k := range overlay.Keys() {
		show(k.Key, "key", k.Key, "section", k.Section, "unit", k.Unit, "default", k.Default,
			"min", k.Min, "max", k.Max, "choices", k.Choices, "text", k.Doc)
	}
	if !found {
		slices.Sort(known)
		return &exitError{code: exitUsage, text: "unknown word " + quote(word) + settings.Suggest(word, known)}
	}
	return nil
}

// explanation is the name of an outcome and its meaning.
type explanation struct{ name, text string }

// outcomes explains the outcomes of requests and of configuration changes.
var outcomes = []explanation{
	{"answered", "The caller got the complete response of an upstream."},
	{"notrun", "No upstream has started the request. It is safe to send it again."},
	{"unknown", "The request may have run. Send it again only if running it twice does no harm."},
	{"accepted", "The change is durable at a quorum of control hosts and becomes active everywhere."},
	{"conflict", "The change is based on a version other than the current one. Compare with diff, edit and apply again."},
	{"invalid", "The files have the problems that were printed. Nothing was changed."},
	{"unavailable", "No control host could decide. Send the same change again; its identifier makes sure that it happens once."},
}

// reasons explains the reasons of request outcomes. docs/OPERATIONS.md repeats the texts.
var reasons = map[mulberrylink.Reason]string{
	mulberrylink.ReasonNone:       "There is no reason, because the request was answered.",
	mulberrylink.ReasonBusy:       "Every slot and the queue were full until the wait ended.",
	mulberrylink.ReasonCold:       "The upstream is in cold start and accepts few requests.",
	mulberrylink.ReasonDraining:   "The upstream is draining and accepts no new requests.",
	mulberrylink.ReasonLeaving:    "The node is stopping and accepts no new requests.",
	mulberrylink.ReasonDomainOut:  "Operators have taken the failure domain out of service.",
	mulberrylink.ReasonIsolated:   "The node has heard from no peer and no control host for 3 s and cannot know whether its failure domain is in service.",
	mulberrylink.ReasonNoConfig:   "The node has no confirmed configuration yet.",
	mulberrylink.ReasonNoUpstream: "No known upstream of the service accepts requests.",
	mulberrylink.ReasonConnect:    "The connection to the upstream or its node failed before any byte of the request was sent.",
	mulberrylink.ReasonShed:       "The upstream itself refused the request because it was overloaded.",
	mulberrylink.ReasonDeadline:   "The deadline of the request passed.",
	mulberrylink.ReasonBudget:     "The retry budget of the service was exhausted.",
	mulberrylink.ReasonFenced:     "The node had already reported this attempt as never received.",
	mulberrylink.ReasonCrasher:    "Upstreams crashed while they ran this request, so it is refused until the suspicion expires.",
	mulberrylink.ReasonNoQuorum:   "No quorum of control hosts could record the claim on the idempotency key.",
	mulberrylink.ReasonConflict:   "The idempotency key was used before with a different request.",
	mulberrylink.ReasonPending:    "A request with the same idempotency key is still running.",
	mulberrylink.ReasonClaimed:    "A request with the same idempotency key has run or may have run, and its response is not stored.",
	mulberrylink.ReasonLost:       "The connection was lost while the request was running.",
	mulberrylink.ReasonSilent:     "The connection to the node of the upstream failed while the request was running, and the node could not be asked for the outcome.",
	mulberrylink.ReasonCrashed:    "The upstream crashed while it ran the request.",
	mulberrylink.ReasonCanceled:   "The caller disconnected.",
	mulberrylink.ReasonTruncated:  "The response of the upstream ended before its full length.",
	mulberrylink.ReasonDepth:      "The chain of nested calls is too deep.",
	mulberrylink.ReasonBadRequest: "The request is malformed or its body is shorter than its length.",
	mulberrylink.ReasonBadKey:     "The idempotency key is malformed.",
	mulberrylink.ReasonTooLarge:   "The headers or the body are too large.",
	mulberrylink.ReasonNoService:  "The Host header names no service of the configuration.",
	mulberrylink.ReasonNoRoute:    "The service has no route for this method and path.",
	mulberrylink.ReasonMemory:     "The buffers of the node hold as much as its memory allows.",
	mulberrylink.ReasonUnknownKey: "The request showed no key of a client account on a route that needs one.",
	mulberrylink.ReasonLeaseEnded: "The node has had no confirmation of the client accounts for too long, so it cannot know whether the key was revoked.",
	mulberrylink.ReasonOverQuota:  "The client account has used its rate limit over all nodes.",
	mulberrylink.ReasonNoQuota:    "The node could not learn in time whether the client account is within its rate limit: no leader answered.",
}

// memberReasons explains why a membership change of the control hosts is waiting or was refused.
// docs/OPERATIONS.md repeats the texts.
var memberReasons = [...]string{
	controlplane.MemberNoReason:     "The change of the control hosts is done.",
	controlplane.MemberBusy:         "Another change of the control hosts is in progress. Wait for it and try again.",
	controlplane.MemberCatchup:      "The new control host is still catching up. Repeat the same command to wait longer.",
	controlplane.MemberUnresponsive: "A control host with a vote does not respond, and the group would depend on the new one. Remove the unresponsive one first.",
	controlplane.MemberQuorum:       "Too few responsive control hosts would remain. Bring another one back first.",
	controlplane.MemberInUse:        "The identity or address belongs to a member. Remove that member first.",
	controlplane.MemberFull:         "The group has its largest size of 7 control hosts.",
	controlplane.MemberMissing:      "No member has this identity. See members list.",
	controlplane.MemberNotBlank:     "The host holds the state of another member. Stop it, empty its data directory and start it again.",
	controlplane.MemberNameMismatch: "The host at this address has another name or identity than the command says.",
	controlplane.MemberUnreachable:  "The host to add does not respond at this address.",
	controlplane.MemberUnsupported:  "The control host that answered keeps no replicated log.",
}
