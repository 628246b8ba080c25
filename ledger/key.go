package ledger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"
	"strings"
	"time"
)

// Key is the text form of an idempotency key:
//
//	pbk1.<base64url payload>.<base64url HMAC-SHA-256 of the payload>
//
// The payload can be read without the secret, so that every instance can route a key to its owner.
type Key string

const (
	keyPrefix   = "pbk1."
	macContext  = "primrosebeam idempotency key 1\x00" // separates this use of the secret from all others
	uniqueBytes = 16                                   // length of an ID
	maxKeyBytes = 600                                  // fits two names of MaxNameBytes, the numbers and the MAC in base64

	// MinSecretBytes is the minimum length of the secret, equal to the output length of SHA-256.
	MinSecretBytes = 32
)

var keyEncoding = base64.RawURLEncoding.Strict()

// ID is the random unique part of a key. The owner stores keys by ID.
type ID [uniqueBytes]byte

// KeyParts contains the decoded parts of a key. Only the owner can verify them.
type KeyParts struct {
	Owner       string
	Incarnation uint64 // incarnation of the owner's disk
	Workspace   string
	Expiry      time.Time // in whole milliseconds
	ID          ID
}

// Parse decodes a key without verifying it. It returns *InvalidKeyError for text in another form than that of
// issued keys.
func (k Key) Parse() (KeyParts, error) {
	parts, _, _, err := k.decode()
	return parts, err
}

// decode returns the parts, the payload and the MAC of a key without verifying them.
func (k Key) decode() (parts KeyParts, payload, mac []byte, err error) {
	invalid := &InvalidKeyError{}
	text, found := strings.CutPrefix(string(k), keyPrefix)
	if !found || len(k) > maxKeyBytes || strings.ContainsAny(text, "\r\n") {
		return parts, nil, nil, invalid
	}
	first, second, found := strings.Cut(text, ".")
	if !found {
		return parts, nil, nil, invalid
	}
	payload, err = keyEncoding.DecodeString(first)
	if err != nil {
		return parts, nil, nil, invalid
	}
	mac, err = keyEncoding.DecodeString(second)
	if err != nil || len(mac) != sha256.Size {
		return parts, nil, nil, invalid
	}
	parts, ok := decodePayload(payload)
	if !ok {
		return parts, nil, nil, invalid
	}
	return parts, payload, mac, nil
}

// encode returns the text form of the key, with its MAC.
func (p KeyParts) encode(s *signer) Key {
	payload := p.appendPayload(nil)
	text := keyPrefix + keyEncoding.EncodeToString(payload)
	return Key(text + "." + keyEncoding.EncodeToString(s.mac(payload)))
}

// signer computes MACs with one secret. It reuses the hash, because preparing the secret costs as much as the
// MAC itself.
type signer struct {
	hash hash.Hash
	sum  [sha256.Size]byte
}

func newSigner(secret []byte) *signer {
	return &signer{hash: hmac.New(sha256.New, secret)}
}

// mac returns the MAC of a payload. The returned slice is valid until the next call.
func (s *signer) mac(payload []byte) []byte {
	s.hash.Reset()
	s.hash.Write([]byte(macContext))
	s.hash.Write(payload)
	return s.hash.Sum(s.sum[:0])
}

// appendPayload appends the length of the owner's name, the name, the same for the workspace, and then the
// incarnation, the expiry and the ID at fixed widths in big-endian order.
func (p KeyParts) appendPayload(dst []byte) []byte {
	dst = append(dst, byte(len(p.Owner)))
	dst = append(dst, p.Owner...)
	dst = append(dst, byte(len(p.Workspace)))
	dst = append(dst, p.Workspace...)
	dst = binary.BigEndian.AppendUint64(dst, p.Incarnation)
	dst = binary.BigEndian.AppendUint64(dst, uint64(p.Expiry.UnixMilli()))
	return append(dst, p.ID[:]...)
}

func decodePayload(data []byte) (p KeyParts, ok bool) {
	p.Owner, data, ok = cutName(data)
	if !ok {
		return p, false
	}
	p.Workspace, data, ok = cutName(data)
	if !ok || len(data) != 8+8+uniqueBytes {
		return p, false
	}
	p.Incarnation = binary.BigEndian.Uint64(data)
	p.Expiry = time.UnixMilli(int64(binary.BigEndian.Uint64(data[8:])))
	p.ID = ID(data[16:])
	return p, true
}

// cutName splits a name preceded by its length in one byte off the start of data.
func cutName(data []byte) (name string, rest []byte, ok bool) {
	if len(data) == 0 {
		return "", nil, false
	}
	length := int(data[0])
	if length == 0 || length > MaxNameBytes || length >= len(data) {
		return "", nil, false
	}
	return string(data[1 : 1+length]), data[1+length:], true
}

// Mint issues keys with IDs read from random, which must be cryptographically secure. It stores nothing: the
// owner has state for a key only after its first claim.
// It returns *InvalidRequestError, *UnavailableError or the error of random.
func (l *Ledger) Mint(now time.Time, r MintRequest, random io.Reader) ([]Key, error) {
	l.advanceTime(now)
	switch {
	case !validName(r.Workspace):
		return nil, &InvalidRequestError{Field: "workspace"}
	case r.Count < 1 || r.Count > MaxMintCount:
		return nil, &InvalidRequestError{Field: "count"}
	case r.Lifetime < MinLifetime || r.Lifetime > MaxLifetime:
		return nil, &InvalidRequestError{Field: "lifetime"}
	case l.failure != nil:
		return nil, &UnavailableError{Err: l.failure}
	}
	expiry := time.UnixMilli(l.highestTime + r.Lifetime.Milliseconds())
	keys := make([]Key, r.Count)
	for i := range keys {
		parts := KeyParts{Owner: l.owner, Incarnation: l.incarnation, Workspace: r.Workspace, Expiry: expiry}
		if _, err := io.ReadFull(random, parts.ID[:]); err != nil {
			return nil, err
		}
		keys[i] = parts.encode(l.signer)
	}
	return keys, nil
}

// verify returns the parts of a key if this owner issued it to the workspace. For a key of another
// incarnation it returns *LostError; the MAC of such a key cannot be checked, because the secret was lost
// with the disk.
func (l *Ledger) verify(key Key, workspace string) (KeyParts, error) {
	parts, payload, mac, err := key.decode()
	if err != nil {
		return parts, err
	}
	if parts.Owner != l.owner {
		return parts, &WrongOwnerError{Owner: parts.Owner}
	}
	if parts.Incarnation != l.incarnation {
		if parts.Workspace != workspace {
			return parts, &InvalidKeyError{}
		}
		return parts, &LostError{}
	}
	genuine := hmac.Equal(mac, l.signer.mac(payload))
	if !genuine || parts.Workspace != workspace {
		return parts, &InvalidKeyError{}
	}
	return parts, nil
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }
