package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/transport/front"
)

// maxAnnounceBytes is the maximum body size of an announcement.
const maxAnnounceBytes = 16 << 10

// adminServer is the HTTP server for announcements of the upstream and for operators.
type adminServer struct {
	node      *node
	rest      *rest.Server
	http      *http.Server
	listening chan struct{}
	addr      string
}

func newAdminServer(n *node, addr string) (*adminServer, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "parse admin address %q", addr)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, errors.Wrapf(err, "parse port of admin address %q", addr)
	}
	a := &adminServer{node: n, listening: make(chan struct{})}
	if a.rest, err = rest.NewServer(front.RestConfig("admin", host, port)); err != nil {
		return nil, errors.Wrap(err, "set up admin server")
	}
	a.rest.AddRoutes([]rest.Route{
		{Method: http.MethodPost, Path: "/announce", Handler: a.announce},
		{Method: http.MethodGet, Path: "/health", Handler: a.health},
		{Method: http.MethodGet, Path: "/ready", Handler: a.readiness},
		{Method: http.MethodGet, Path: "/metrics", Handler: a.metrics},
		{Method: http.MethodGet, Path: "/version", Handler: a.version},
	})
	return a, nil
}

// serve serves the endpoints until the process ends. It returns an error when it can't listen on the
// address.
func (a *adminServer) serve() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("serve admin endpoints: %v", p) // go-zero panics when it can't listen
		}
	}()
	a.rest.StartWithOpts(func(srv *http.Server) {
		a.http = srv
		srv.BaseContext = func(lis net.Listener) context.Context {
			a.addr = lis.Addr().String()
			close(a.listening)
			return context.Background()
		}
	})
	return nil
}

func (a *adminServer) announce(w http.ResponseWriter, r *http.Request) {
	ann, err := readAnnouncement(w, r, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.node.upstream.announce(ann)
	w.WriteHeader(http.StatusNoContent)
}

// announceMessage is the JSON form of an announcement.
type announceMessage struct {
	Service     string `json:"service"`
	Addr        string `json:"addr"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	TTL         int    `json:"ttl"`
	Incarnation uint64 `json:"incarnation"`
}

// readAnnouncement reads an announcement in JSON or as an HTML form.
func readAnnouncement(w http.ResponseWriter, r *http.Request, now time.Time) (announcement, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err != nil {
		return announcement{}, errors.Wrap(err, "read announcement")
	}
	var m announceMessage
	mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if mediaType == "application/json" {
		if err := json.Unmarshal(data, &m); err != nil {
			return announcement{}, errors.Wrap(err, "announcement is not valid JSON")
		}
	} else if err := m.parseForm(string(data)); err != nil {
		return announcement{}, err
	}
	return m.announcement(now)
}

// parseForm sets m from the URL-encoded form in text.
func (m *announceMessage) parseForm(text string) error {
	values, err := url.ParseQuery(text)
	if err != nil {
		return errors.Wrap(err, "announcement is not a valid form")
	}
	m.Service, m.Addr, m.State = values.Get("service"), values.Get("addr"), values.Get("state")
	var problems []error
	parseInt := func(key string) int {
		if values.Get(key) == "" {
			return 0
		}
		n, err := strconv.Atoi(values.Get(key))
		if err != nil {
			problems = append(problems, fmt.Errorf("%s %q is not a whole number", key, values.Get(key)))
		}
		return n
	}
	m.Slots, m.Connections, m.TTL = parseInt("slots"), parseInt("connections"), parseInt("ttl")
	if text := values.Get("incarnation"); text != "" {
		if m.Incarnation, err = strconv.ParseUint(text, 10, 64); err != nil {
			problems = append(problems, fmt.Errorf("incarnation %q is not a whole number", text))
		}
	}
	return errors.Join(problems...)
}

// announcement validates m and returns it as an announcement that expires at its TTL after now.
func (m *announceMessage) announcement(now time.Time) (announcement, error) {
	state, err := parseState(m.State)
	if err != nil {
		return announcement{}, err
	}
	if low, high := int(minTTL.Milliseconds()), int(maxTTL.Milliseconds()); m.TTL < low || m.TTL > high {
		return announcement{}, errors.Newf("ttl %d is not in the range %d to %d milliseconds", m.TTL, low, high)
	}
	a := announcement{
		Service: m.Service, Addr: m.Addr, Slots: m.Slots, Connections: m.Connections,
		State: state, Incarnation: m.Incarnation,
		ExpiresAt: now.Add(time.Duration(m.TTL) * time.Millisecond),
	}
	return a, a.validate()
}

func (a *adminServer) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, "ok")
}

// notListening is why a node is not ready while its server for callers does not listen yet.
const notListening = "notlistening"

// readiness reports whether callers may use this node, and whether it admits requests to its
// upstream.
func (a *adminServer) readiness(w http.ResponseWriter, _ *http.Request) {
	reason := a.node.availability.entryRejectReason().String()
	select {
	case <-a.node.front.Ready():
	default:
		reason = notListening
	}
	if reason != mulberrylink.ReasonNone.String() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, "ready=false reason=%s\n", reason)
		return
	}
	_, _ = fmt.Fprintf(w, "ready=true version=%d admit=%s\n", a.node.active.version(), a.node.availability.admitRejectReason(a.node.upstream.current().Service))
}

func (a *adminServer) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	a.node.stats.write(w)
}

func (a *adminServer) version(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "config=%d program=mulberrynode build=%s name=%s\n",
		a.node.active.version(), version, a.node.cfg.Node.Name)
}
