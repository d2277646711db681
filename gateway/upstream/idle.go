package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"camphorwick.dev/cloud/tcpprobe"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the stated timeout, so that the server does
	// not close the connection while a request is on its way.
	idleMargin = 700 * time.Millisecond
	// maxIdleAtMostOnce is the longest idle time of a connection for a request
	// that must not be retried, because a server may drop an idle connection
	// without notice.
	maxIdleAtMostOnce = time.Second
)

// takeIdle returns an idle connection that is still usable, or nil.
func (c *Client) takeIdle(address string, atMostOnce bool) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := list[len(list)-1]
		list[len(list)-1] = nil
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Before(cn.expires) && !(atMostOnce && now.Sub(cn.idleSince) > maxIdleAtMostOnce) && !tcpprobe.Unusable(cn.Conn) {
			return cn
		}
		_ = cn.Close()
	}
}

func (c *Client) putIdle(cn *conn, h http.Header) {
	idleTimeout := defaultIdleTimeout
	if stated, ok := keepAliveTimeout(h); ok {
		idleTimeout = stated - idleMargin
	}
	if idleTimeout <= 0 {
		_ = cn.Close()
		return
	}
	cn.idleSince = time.Now()
	cn.expires = cn.idleSince.Add(idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// Sweep closes the connections whose idle timeout has passed.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	var expired []*conn
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.expires) {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		_ = cn.Close()
	}
}

// Forget closes the idle connections to address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range list {
		_ = cn.Close()
	}
}
