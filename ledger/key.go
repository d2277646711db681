package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"camphorwick.dev/api/outcome"
)

// Limits on the age of an order key, compared with the wall clock.
const (
	// KeyLifetime is the age at which a key expires.
	KeyLifetime = 24 * time.Hour
	// MaxKeyLead is how far the timestamp of a key may lie in the future.
	MaxKeyLead = 5 * time.Minute
	// DeletionMargin is the time between the expiry of keys and the deletion
	// of their records. The sum of the clock errors of a claimant and of a
	// sweeping process must stay below it.
	DeletionMargin = time.Hour
)

const (
	storePrefix = "orders/"
	// shardCount is not configurable: processes that disagree on it would look
	// up the same order in different values and could both send it.
	shardCount = 64
	// hashBytes truncates the SHA-256 hash to keep records small. An accidental
	// collision at 128 bits is negligible and would be reported as key_conflict.
	hashBytes    = 16
	uuidTextSize = 36
	uuidVersion  = 7
)

type keyHash [hashBytes]byte

// Key is a validated order key, scoped to a client account and a service. It is
// created by ParseKey and comparable.
type Key struct {
	hash    keyHash
	created int64 // Unix milliseconds
}

// ParseKey validates an order key, which must be a UUIDv7 in its text form of
// 36 characters. It returns an *outcome.Error with invalid_request for any other
// text and with key_expired if the key is older than KeyLifetime or more than
// MaxKeyLead ahead of now.
func ParseKey(account, service, orderKey string, now time.Time) (Key, error) {
	if account == "" || service == "" {
		return Key{}, outcome.New(outcome.InvalidRequest, "an order needs a client account and a service")
	}
	id, err := uuid.Parse(orderKey)
	if err != nil {
		return Key{}, outcome.Wrap(err, outcome.InvalidRequest, "the order key is not a UUID")
	}
	if len(orderKey) != uuidTextSize || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, outcome.New(outcome.InvalidRequest, "the order key is not a UUIDv7 of %d characters", uuidTextSize)
	}
	var milliseconds [8]byte
	copy(milliseconds[2:], id[:6])
	key := Key{hash: hashOf(account, service, id), created: int64(binary.BigEndian.Uint64(milliseconds[:]))}
	if err := key.checkAge(now); err != nil {
		return Key{}, err
	}
	return key, nil
}

// hashOf prefixes account and service with their lengths, so that different
// scopes never produce the same input.
func hashOf(account, service string, id uuid.UUID) keyHash {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{account, service} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(id[:])
	return keyHash(h.Sum(nil)[:hashBytes])
}

func (k Key) checkAge(now time.Time) error {
	age := now.Sub(time.UnixMilli(k.created))
	switch {
	case age >= KeyLifetime:
		return outcome.New(outcome.KeyExpired, "the order key is older than %v", KeyLifetime)
	case age < -MaxKeyLead:
		return outcome.New(outcome.KeyExpired, "the order key lies more than %v in the future", MaxKeyLead)
	}
	return nil
}

func (k Key) hour() int64 { return k.created / time.Hour.Milliseconds() }

// storeKey returns orders/<hour>/<shard>, with the hour counted from the Unix
// epoch.
func (k Key) storeKey() string {
	shard := binary.BigEndian.Uint64(k.hash[:8]) % shardCount
	return storePrefix + strconv.FormatInt(k.hour(), 10) + "/" + strconv.FormatUint(shard, 10)
}

// deletable reports whether all keys created in an hour have been expired for
// at least DeletionMargin, so that the values of the hour may be deleted.
func deletable(hour int64, now time.Time) bool {
	end := time.UnixMilli((hour + 1) * time.Hour.Milliseconds())
	return now.Sub(end) >= KeyLifetime+DeletionMargin
}

// hourOf returns the hour in a store key, or false if the key has another form.
func hourOf(storeKey string) (int64, bool) {
	hour, _, ok := strings.Cut(strings.TrimPrefix(storeKey, storePrefix), "/")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(hour, 10, 64)
	return n, err == nil
}
