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

// Key is the text of an idempotency key:
//
//	pbk1.<base64url payload>.<base64url HMAC-SHA-256 of the payload>
//
// The payload is readable without the secret, so that every instance can route a key to its owner.
type Key string

const (
	keyPrefix   = "pbk1."
	macContext  = "primrosebeam idempotency key 1\x00" // separates this use of the secret from any other
	uniqueBytes = 16
	maxKeyBytes = 600 // two names of MaxNameBytes, the numbers and the MAC in base64

	// MinSecretBytes is the shortest secret: as long as the hash's output.
	MinSecretBytes = 32
)

var keyEncoding = base64.RawURLEncoding.Strict()

// ID is the unique part of a key, under which the owner stores it.
type ID [uniqueBytes]byte

// KeyParts are the readable parts of a key. Only the owner can tell whether they are genuine.
type KeyParts struct {
	Owner       string
	Incarnation uint64 // of the owner's disk
	Workspace   string
	Expiry      time.Time // whole milliseconds
	ID          ID
}

// Parse reads a key without verifying it. It returns *InvalidKeyError for text that no owner issues.
func (k Key) Parse() (KeyParts, error) {
	parts, _, _, err := k.decode()
	return parts, err
}

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

// encode returns the key's text with its MAC.
func (p KeyParts) encode(s *signer) Key {
	payload := p.appendPayload(nil)
	text := keyPrefix + keyEncoding.EncodeToString(payload)
	return Key(text + "." + keyEncoding.EncodeToString(s.mac(payload)))
}

// signer computes MACs under one secret. It keeps the hash, because preparing the secret costs as much as the MAC.
type signer struct {
	hash hash.Hash
	sum  [sha256.Size]byte
}

func newSigner(secret []byte) *signer {
	return &signer{hash: hmac.New(sha256.New, secret)}
}

// mac returns the MAC of a payload, which is valid until the next call.
func (s *signer) mac(payload []byte) []byte {
	s.hash.Reset()
	s.hash.Write([]byte(macContext))
	s.hash.Write(payload)
	return s.hash.Sum(s.sum[:0])
}

// appendPayload writes the length of the owner's name, the name, the same for the workspace, and then the
// incarnation, the expiry and the unique part at fixed widths in big-endian order.
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

// Mint issues keys with randomness from the given source, which must be cryptographically strong. It changes
// nothing: a key exists for the owner only from its first claim on.
// It returns *InvalidRequestError, *UnavailableError or the source's error.
func (l *Ledger) Mint(now time.Time, r MintRequest, random io.Reader) ([]Key, error) {
	l.advance(now)
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
	expiry := time.UnixMilli(l.highest + r.Lifetime.Milliseconds())
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

// verify returns the parts of a key that this owner issued to the workspace. A key of another incarnation gives
// *LostError; its MAC cannot be checked, because the secret was lost with the disk.
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
