package feed

import "github.com/mulberrylink/mulberrylink/coordination/rollout"

// SendReport sends r as the last report of this node, at once and again to each control host that the
// client moves to. Nil ends the reports. r must not be modified any more.
func (c *Client) SendReport(r *rollout.Report) {
	c.mu.Lock()
	c.report = r
	c.mu.Unlock()
	select {
	case c.selfChanged <- struct{}{}:
	default:
	}
}

func (c *Client) currentReport() *rollout.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report
}

// storeReports stores the reports that the hub at addr received from its nodes.
func (c *Client) storeReports(reports []rollout.Report, addr string) {
	if c.cfg.Reports == nil {
		return
	}
	for i := range reports {
		c.cfg.Reports.Put(&reports[i], addr, c.cfg.Now())
	}
}

// storeReport stores the report of the subscriber. A node reports only about itself.
func (s *session) storeReport(r *rollout.Report) {
	if r != nil && s.hub.cfg.Reports != nil && r.Node == s.recordName {
		s.hub.cfg.Reports.Put(r, s.source, s.hub.cfg.Now())
	}
}

// addReports adds the reports that nodes have sent to this hub to a message, and returns a channel that
// is closed at the next change. It is nil for nodes, which are sent none.
func (s *session) addReports(m *hubMessage) <-chan struct{} {
	if s.hostName == "" || s.hub.cfg.Reports == nil {
		return nil
	}
	reports, revision, changed := s.hub.cfg.Reports.ChangedSince(s.reportRevision, isSession)
	s.reportRevision = revision
	for _, r := range reports {
		m.Reports = append(m.Reports, *r)
	}
	return changed
}
