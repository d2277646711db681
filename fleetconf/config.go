package fleetconf

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"strings"

	"camphorwick.dev/api/wire"
)

// Item is one configuration item: a client account, plan, VM mark or model.
type Item struct {
	Key string
	// Value is the JSON document. It must not be modified.
	Value []byte
	// Revision is the revision of the edit that last changed the item.
	Revision uint64
	// Document is the parsed *Client, *Plan, *Mark or *Model, or nil if the kind
	// of the item is unknown to this version. It must not be modified.
	Document any
}

// itemOverheadBytes is an upper bound of the protobuf overhead of one item in a
// snapshot.
const itemOverheadBytes = 24

func (i *Item) size() int { return len(i.Key) + len(i.Value) + itemOverheadBytes }

// Config is the configuration at one revision. It is immutable, so that any
// number of goroutines can read it without locks.
type Config struct {
	revision      uint64
	items         table[*Item]
	accounts      table[string] // account by binary key hash
	accountCounts table[int]    // number of accounts by plan name
	snapshotBytes int           // upper bound of the size of a snapshot
}

// Revision returns the revision of the configuration, which is that of its last
// edit.
func (c *Config) Revision() uint64 { return c.revision }

// SnapshotBytes returns an upper bound of the size of a snapshot in bytes.
func (c *Config) SnapshotBytes() int { return c.snapshotBytes }

// Item returns the item with the given key.
func (c *Config) Item(key string) (*Item, bool) { return c.items.get(key) }

// Items returns the items whose key starts with prefix, ordered by key.
func (c *Config) Items(prefix string) []*Item {
	var items []*Item
	c.items.each(func(key string, i *Item) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, i)
		}
	})
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	return items
}

// ClientByKey returns the account that an API key belongs to, including disabled
// accounts.
func (c *Config) ClientByKey(apiKey string) (account string, client *Client, ok bool) {
	sum := sha256.Sum256([]byte(apiKey))
	if account, ok = c.accounts.get(string(sum[:])); !ok {
		return "", nil, false
	}
	client, ok = c.Client(account)
	return account, client, ok
}

// Client returns a client account.
func (c *Config) Client(account string) (*Client, bool) {
	return document[Client](c, ClientPrefix+account)
}

// Plan returns a plan by name.
func (c *Config) Plan(name string) (*Plan, bool) { return document[Plan](c, PlanPrefix+name) }

// PlanOf returns the plan of an account.
func (c *Config) PlanOf(account string) (*Plan, bool) {
	client, ok := c.Client(account)
	if !ok {
		return nil, false
	}
	return c.Plan(client.Plan)
}

// Mark returns the state that an operator set for a VM.
func (c *Config) Mark(vm string) (MarkState, bool) {
	m, ok := document[Mark](c, MarkPrefix+vm)
	if !ok {
		return "", false
	}
	return m.State, true
}

func document[T any](c *Config, key string) (*T, bool) {
	item, ok := c.items.get(key)
	if !ok {
		return nil, false
	}
	d, ok := item.Document.(*T)
	return d, ok
}

// Snapshot returns the complete configuration with its items ordered by key.
func (c *Config) Snapshot() *wire.ConfigSnapshot {
	s := &wire.ConfigSnapshot{Revision: c.revision}
	for _, i := range c.Items("") {
		s.Items = append(s.Items, &wire.ConfigItem{Key: i.Key, Value: i.Value, Revision: i.Revision})
	}
	return s
}

// fromSnapshot builds a configuration from a snapshot. It reuses unchanged items
// of previous instead of parsing them again.
func fromSnapshot(s *wire.ConfigSnapshot, previous *Config) (*Config, error) {
	c := &Config{revision: s.Revision}
	for _, w := range s.Items {
		item, err := newItem(w.Key, w.Value, w.Revision, previous)
		if err != nil {
			return nil, fmt.Errorf("decode snapshot of revision %d: %w", s.Revision, err)
		}
		c.items.put(w.Key, item)
		c.snapshotBytes += item.size()
		if client, ok := item.Document.(*Client); ok {
			c.accountCounts.put(client.Plan, c.accountsOnPlan(client.Plan)+1)
			for _, h := range client.KeyHashes {
				c.accounts.put(rawHash(h), strings.TrimPrefix(w.Key, ClientPrefix))
			}
		}
	}
	return c, nil
}

func newItem(key string, value []byte, revision uint64, previous *Config) (*Item, error) {
	if previous != nil {
		if old, ok := previous.items.get(key); ok && old.Revision == revision && bytes.Equal(old.Value, value) {
			return old, nil
		}
	}
	item := &Item{Key: key, Value: value, Revision: revision}
	if !knownKind(key) {
		return item, nil
	}
	d, err := parseItem(key, value, false)
	if err != nil {
		return nil, err
	}
	item.Document = d
	return item, nil
}

func knownKind(key string) bool {
	return strings.HasPrefix(key, ClientPrefix) || strings.HasPrefix(key, PlanPrefix) || strings.HasPrefix(key, MarkPrefix) ||
		strings.HasPrefix(key, ModelPrefix)
}

func (c *Config) accountsOnPlan(plan string) int {
	n, _ := c.accountCounts.get(plan)
	return n
}

// apply returns the configuration that results from the edit, which must have
// the next revision.
func (c *Config) apply(e *wire.Edit) (*Config, error) {
	if e.Revision != c.revision+1 {
		return nil, &MissingRevisionsError{Have: c.revision, Got: e.Revision}
	}
	next := *c
	next.revision = e.Revision
	for _, change := range e.Changes {
		if err := next.set(change.Key, change.Value); err != nil {
			return nil, fmt.Errorf("apply edit %q of revision %d: %w", e.Id, e.Revision, err)
		}
	}
	return &next, nil
}

// set changes or deletes one item in place. The configuration must not be shared
// yet.
func (c *Config) set(key string, value []byte) error {
	var item *Item
	if len(value) > 0 {
		var err error
		if item, err = newItem(key, value, c.revision, nil); err != nil {
			return err
		}
	}
	if old, ok := c.items.get(key); ok {
		c.removeFromIndexes(old)
		c.items = c.items.without(key)
		c.snapshotBytes -= old.size()
	}
	if item != nil {
		c.items = c.items.with(key, item)
		c.snapshotBytes += item.size()
		c.addToIndexes(item)
	}
	return nil
}

func (c *Config) addToIndexes(i *Item) {
	client, ok := i.Document.(*Client)
	if !ok {
		return
	}
	account := strings.TrimPrefix(i.Key, ClientPrefix)
	c.accountCounts = c.accountCounts.with(client.Plan, c.accountsOnPlan(client.Plan)+1)
	for _, h := range client.KeyHashes {
		c.accounts = c.accounts.with(rawHash(h), account)
	}
}

func (c *Config) removeFromIndexes(i *Item) {
	client, ok := i.Document.(*Client)
	if !ok {
		return
	}
	account := strings.TrimPrefix(i.Key, ClientPrefix)
	c.accountCounts = c.accountCounts.with(client.Plan, c.accountsOnPlan(client.Plan)-1)
	for _, h := range client.KeyHashes {
		// The same edit may have moved the key to another account already.
		if owner, _ := c.accounts.get(rawHash(h)); owner == account {
			c.accounts = c.accounts.without(rawHash(h))
		}
	}
}

func rawHash(hexHash string) string {
	raw, _ := hex.DecodeString(hexHash)
	return string(raw)
}
