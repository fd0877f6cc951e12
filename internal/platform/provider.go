package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
)

const (
	pathFailover       = "/failover"
	headerOwner        = "Lease-Owner"
	headerFencingToken = "Fence-Token"
)

// Provider calls the platform's API. It never repeats a call: every call has its own
// connection, net/http cannot read the body twice, and redirects are returned as replies. The
// connection of an abandoned call is reset (resetOnClose).
type Provider struct {
	address string
	client  *http.Client
}

// NewProvider returns a client for the platform at an address that connects from an IP
// address.
func NewProvider(ip, address string) *Provider {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, KeepAlive: -1, Control: setUnacknowledgedTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		netConn, err := d.DialContext(ctx, network, address)
		if err == nil {
			resetOnClose(netConn)
		}
		return netConn, err
	}
	return &Provider{address: address, client: &http.Client{
		Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// promotionRequest is the body of a request to promote a database.
type promotionRequest struct {
	Backend string `json:"Backend"`
	ID      string `json:"Id"`
}

// Promote requests the promotion of a database to its group's primary, with the lease owner
// and the fencing token of the lease. It returns the HTTP status of the reply. After an error
// it is unknown whether the platform received the request.
func (p *Provider) Promote(ctx context.Context, group, id, owner string, fence uint64) (int, error) {
	data, err := json.Marshal(promotionRequest{group, id})
	if err != nil {
		return 0, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+pathFailover, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	r.GetBody = nil
	r.Header["Content-Type"] = jsonType
	r.Header.Set(headerOwner, owner)
	r.Header.Set(headerFencingToken, strconv.FormatUint(fence, 10))
	response, err := p.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
	return response.StatusCode, nil
}
