package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
)

const (
	// AnnounceInterval is the time between announcements.
	AnnounceInterval = time.Second
	// announceTimeout bounds the sending of one announcement. It is shorter than
	// AnnounceInterval, so that an unresponsive host does not delay the next one.
	announceTimeout = 800 * time.Millisecond
)

// AnnouncementSource is a stand-in that can be announced. Changed receives a value when an
// announcement is due before the next interval.
type AnnouncementSource interface {
	Announcement() announce.Announcement
	Changed() <-chan struct{}
}

// Announcer sends the announcements of a stand-in to the entry hosts.
type Announcer struct {
	Source AnnouncementSource
	// Hosts are the base URLs of the entry hosts.
	Hosts []string
	// Client sends the announcements; nil means http.DefaultClient.
	Client *http.Client
}

// Run sends announcements immediately, every AnnounceInterval and after each change, until
// ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for {
		a.Send(ctx)
		select {
		case <-ticker.C:
		case <-a.Source.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// Send sends one announcement to all entry hosts concurrently and waits for their answers.
func (a *Announcer) Send(ctx context.Context) {
	body, err := json.Marshal(a.Source.Announcement())
	if err != nil {
		return
	}
	var sent sync.WaitGroup
	for _, host := range a.Hosts {
		sent.Go(func() { a.post(ctx, host, body) })
	}
	sent.Wait()
}

// post sends one announcement. Errors are ignored because the next announcement replaces a
// lost one.
func (a *Announcer) post(ctx context.Context, host string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host+announce.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client().Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (a *Announcer) client() *http.Client {
	if a.Client != nil {
		return a.Client
	}
	return http.DefaultClient
}
