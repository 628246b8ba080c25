package claims

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/ledger"
)

const (
	identityName    = "identity"
	identityVersion = 1
	journalName     = "journal"
)

// IdentityError reports an identity file that this owner must not use. The file is never replaced
// automatically: with a damaged secret the owner would reject genuine keys as forged, and with a copied file
// two owners would share one identity.
type IdentityError struct {
	Path   string
	Reason string
	Err    error // cause, may be nil
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("claims: identity file %s: %s", e.Path, e.Reason)
}

// Unwrap returns the error of the decoder or the file system.
func (e *IdentityError) Unwrap() error { return e.Err }

// identity is the content of the identity file.
type identity struct {
	Version     uint64 `cbor:"1,keyasint"`
	Owner       string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Epoch       uint64 `cbor:"4,keyasint"`
	Secret      []byte `cbor:"5,keyasint"`
}

// encode returns the content of the identity file: a SHA-256 checksum followed by the encoded identity.
func (i identity) encode() ([]byte, error) {
	body, err := cbor.Marshal(i)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	return append(sum[:], body...), nil
}

// decodeIdentity decodes and checks the content of the identity file at path.
func decodeIdentity(path string, data []byte) (identity, error) {
	var i identity
	if len(data) < sha256.Size {
		return i, &IdentityError{Path: path, Reason: "too short"}
	}
	body := data[sha256.Size:]
	sum := sha256.Sum256(body)
	if !bytes.Equal(sum[:], data[:sha256.Size]) {
		return i, &IdentityError{Path: path, Reason: "checksum does not match"}
	}
	if err := cbor.Unmarshal(body, &i); err != nil {
		return i, &IdentityError{Path: path, Reason: "not decodable", Err: err}
	}
	if i.Version != identityVersion {
		return i, &IdentityError{Path: path, Reason: "unknown version"}
	}
	return i, nil
}

// nextIdentity writes and returns the identity of this start. storedIncarnation and storedEpoch are the last
// values in the journal. If the identity file or the matching journal is missing, the disk was lost: the
// owner then gets a new incarnation and secret, and the state of keys of the old incarnation is permanently
// undetermined.
func nextIdentity(o Options, storedIncarnation, storedEpoch uint64) (ledger.Identity, error) {
	path := filepath.Join(o.Directory, identityName)
	current, err := readIdentity(o, path)
	if err != nil {
		return ledger.Identity{}, err
	}
	matches := current.Incarnation != 0 && current.Incarnation == storedIncarnation
	if !matches {
		current, err = newIdentity(o.Name, o.Random)
		if err != nil {
			return ledger.Identity{}, err
		}
		storedEpoch = 0
	}
	current.Epoch = max(current.Epoch, storedEpoch) + 1
	data, err := current.encode()
	if err != nil {
		return ledger.Identity{}, err
	}
	if err := journal.WriteFileAtomic(o.Files, path, data); err != nil {
		return ledger.Identity{}, err
	}
	return ledger.Identity{Incarnation: current.Incarnation, Epoch: current.Epoch, Secret: current.Secret}, nil
}

// readIdentity reads the identity file. It returns a zero identity if the file does not exist.
func readIdentity(o Options, path string) (identity, error) {
	data, err := o.Files.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return identity{}, nil
	}
	if err != nil {
		return identity{}, &journal.IOError{Operation: journal.OperationRead, Path: path, Err: err}
	}
	i, err := decodeIdentity(path, data)
	if err != nil {
		return identity{}, err
	}
	if i.Owner != o.Name {
		return identity{}, &IdentityError{Path: path, Reason: fmt.Sprintf("belongs to owner %q", i.Owner)}
	}
	return i, nil
}

// newIdentity returns an identity with a random incarnation and secret.
func newIdentity(owner string, random io.Reader) (identity, error) {
	var number [8]byte
	if _, err := io.ReadFull(random, number[:]); err != nil {
		return identity{}, err
	}
	secret := make([]byte, ledger.MinSecretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return identity{}, err
	}
	incarnation := max(1, binary.BigEndian.Uint64(number[:])) // 0 means that there is no identity.
	return identity{Version: identityVersion, Owner: owner, Incarnation: incarnation, Secret: secret}, nil
}
