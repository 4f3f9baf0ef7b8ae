package placement

import "github.com/godwitbend/godwitbend/internal/presence"

// MergeNews applies what a control host without a leader knows, and returns what is new: later
// processes, and later states of known ones. Whether an upstream is responsive is left to the leader,
// as others may not hear from it.
func (p *Pool) MergeNews(records []presence.Record) []presence.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var news []presence.Upstream
	for _, r := range records {
		old := p.table.Record(r.ID)
		switch {
		case old == nil && r.Unresponsive:
			continue
		case old == nil || r.StartedMS > old.StartedMS:
			r.Unresponsive = false
		case r.StartedMS == old.StartedMS && (r.State > old.State || r.Cold.Sequence > old.Cold.Sequence):
			next := *old
			next.State = max(r.State, old.State)
			if r.Cold.Sequence > old.Cold.Sequence {
				next.Cold = r.Cold
			}
			r = next
		default:
			continue
		}
		p.table.Set(r)
		news = append(news, r.Upstream)
	}
	if len(news) > 0 {
		p.rebuild()
	}
	return news
}
