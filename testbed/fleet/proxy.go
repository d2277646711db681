package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Proxy is a TCP proxy in this process that injects faults into the
// connections to one address. Safe for concurrent use.
type Proxy struct {
	name    string
	address string
	proxy   *toxiproxy.Proxy
	// mu serializes setEnabled, which overlapping faults may call at once.
	mu sync.Mutex
}

// Direction restricts a fault to one direction of a connection.
type Direction string

// Directions: Up is from the client to the server of a connection, Down from the
// server to the client.
const (
	Up   Direction = "upstream"
	Down Direction = "downstream"
)

// newToxiproxyServer returns the server object that proxies of toxiproxy refer
// to; its HTTP API is not started. Toxiproxy logs even where a disabled logger is
// given, so zerolog is disabled globally.
func newToxiproxyServer() *toxiproxy.ApiServer {
	zerolog.SetGlobalLevel(zerolog.Disabled)
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
}

// Proxy starts a proxy in front of an address.
func (f *Fleet) Proxy(name, upstream string) (*Proxy, error) { return f.proxyTo(name, upstream) }

// proxyTo starts a proxy in front of an address.
func (f *Fleet) proxyTo(name, upstream string) (*Proxy, error) {
	address := f.ReserveAddress()
	p := &Proxy{name: name, address: address, proxy: toxiproxy.NewProxy(newToxiproxyServer(), name, address, upstream)}
	if err := p.proxy.Start(); err != nil {
		return nil, &StartError{name, err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies = append(f.proxies, p)
	return p, nil
}

// Address is the address to connect to.
func (p *Proxy) Address() string { return p.address }

// Cut closes all connections and refuses new ones until EndFaults.
func (p *Proxy) Cut() error { return p.setEnabled(false) }

// Drop discards all bytes of one direction until EndFaults. Connections stay open
// and new ones are accepted; EndFaults closes the connections that lost bytes.
func (p *Proxy) Drop(d Direction) error {
	return p.addToxic("timeout", d, map[string]any{"timeout": 0})
}

// Delay adds a latency to each direction until EndFaults.
func (p *Proxy) Delay(latency time.Duration) error {
	for _, d := range []Direction{Up, Down} {
		if err := p.addToxic("latency", d, map[string]any{"latency": latency.Milliseconds()}); err != nil {
			return err
		}
	}
	return nil
}

// Slow limits one direction to a rate in KB/s until EndFaults; the buffers of the
// sender fill up.
func (p *Proxy) Slow(d Direction, rate int) error {
	return p.addToxic("bandwidth", d, map[string]any{"rate": rate})
}

// Reset resets each existing or new connection on its next bytes, until EndFaults.
func (p *Proxy) Reset() error { return p.addToxic("reset_peer", Down, map[string]any{"timeout": 0}) }

// Break closes all connections once and accepts new ones immediately.
func (p *Proxy) Break() error {
	if err := p.setEnabled(false); err != nil {
		return err
	}
	return p.setEnabled(true)
}

// EndFaults ends all faults of the proxy.
func (p *Proxy) EndFaults() error {
	p.proxy.Toxics.ResetToxics(context.Background())
	return p.setEnabled(true)
}

const (
	// reopenLimit bounds the retries to listen again on the proxy's address,
	// reopenInterval is the interval between them. A process that is being started
	// holds a copy of a closed listener until it executes its program.
	reopenLimit    = 2 * time.Second
	reopenInterval = 5 * time.Millisecond
)

// setEnabled switches the proxy on or off.
func (p *Proxy) setEnabled(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := toxiproxy.Proxy{Listen: p.address, Upstream: p.proxy.Upstream, Enabled: on}
	for begun := time.Now(); ; time.Sleep(reopenInterval) {
		err := p.proxy.Update(&state)
		if err == nil {
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(begun) > reopenLimit {
			return fmt.Errorf("enable or disable proxy %s: %w", p.name, err)
		}
	}
}

func (p *Proxy) addToxic(kind string, d Direction, attributes map[string]any) error {
	data, err := json.Marshal(map[string]any{"type": kind, "stream": string(d), "attributes": attributes})
	if err != nil {
		return fmt.Errorf("encode fault for proxy: %w", err)
	}
	if _, err := p.proxy.Toxics.AddToxicJson(bytes.NewReader(data)); err != nil {
		return fmt.Errorf("add fault to proxy %s: %w", p.name, err)
	}
	return nil
}

// EndProxyFaults ends the faults of all proxies.
func (f *Fleet) EndProxyFaults() error {
	f.mu.Lock()
	proxies := f.proxies
	f.mu.Unlock()
	for _, p := range proxies {
		if err := p.EndFaults(); err != nil {
			return err
		}
	}
	return nil
}
