package controlplane

import (
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/discovery"
	"example.org/elmspan/versioned"
)

// serverList is the list of servers at one member of the core: the leader's own,
// made of the platform's answers, or what the leader told. A new leader goes on
// with what it was told by the one before: its versions are higher, and what was
// seen draining or gone stays so (discovery.Latch).
type serverList struct {
	roster discovery.EndpointList
	table  versioned.Table
	start  time.Time
	skew   float64 // of the table's clock, which is the first leader's, against this member's
	at     time.Time
}

// clockMs is the time on the table's clock.
func (l *serverList) clockMs() float64 {
	if l.start.IsZero() {
		l.start = time.Now()
	}
	return float64(time.Since(l.start))/float64(time.Millisecond) + l.skew
}

// lead has this member go on with what it was told as a follower.
func (l *serverList) lead() {
	l.roster = discovery.EndpointList{}
	for id, row := range l.table.Rows() {
		// At the beginning of the table's clock, so that until when a server is slow stays
		// what it was: else each row would change, and limiters be told the whole.
		if s, err := api.ParseServerRow(id, row, 0); err == nil {
			l.roster.Add(s, s.WarmupMs)
		}
	}
}

// merge takes in the platform's answer in a term. news: limiters are to be told;
// doubt: another answer is wanted soon.
func (l *serverList) merge(term uint64, answer []api.Server) (news, doubt bool, err error) {
	news, doubt = l.roster.Merge(l.clockMs(), answer)
	if !news && l.table.Version() != 0 {
		return false, doubt, nil
	}
	rows := make(map[string][]byte, l.roster.Len())
	for s, warm := range l.roster.All {
		if rows[s.ID], err = api.EncodeServerRow(s, warm); err != nil {
			return false, doubt, err
		}
	}
	l.table.Replace(max(l.table.Version()+1, term<<32), rows)
	return true, doubt, nil
}

// told takes in what the leader tells; clockMs was the time on its clock then.
func (l *serverList) told(p *versioned.DeltaReader, clockMs float64) error {
	rows, err := p.ApplyTo(l.table.Version(), l.table.Rows())
	if err != nil {
		return err
	}
	l.table.Replace(p.To, rows)
	l.skew += clockMs - l.clockMs()
	return nil
}

// SetServers takes in the platform's answer. news: it changed the list; doubt: another answer is wanted soon.
func (c *Core) SetServers(answer []api.Server) (news, doubt bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leads() {
		return false, false
	}
	news, doubt, err := c.servers.merge(c.node.Term(), answer)
	if err != nil {
		c.cfg.Log.Error("the list of servers can't be told", "err", err)
	}
	if news {
		c.signal()
	}
	return news, doubt
}
