package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is stored as
//
//	length   uint32  bytes of the payload
//	sequence uint64
//	durable  uint64  highest sequence known to be synced when this record was appended
//	payload checksum uint32
//	header checksum  uint32
//	payload
//
// in little-endian byte order, with CRC-32C checksums. The header has its own checksum so that a damaged
// length is not mistaken for an incomplete record. The durable field distinguishes damage to synced records,
// which is an error, from a tail whose pages were written to disk out of order before a sync.
const (
	recordHeaderBytes = 28
	sectorBytes       = 512 // smallest unit that a disk writes
)

// MaxRecordBytes is the maximum size of the payload of a record.
const MaxRecordBytes = 16 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	sequence Sequence
	durable  Sequence
	payload  []byte
}

type decodeResult int

const (
	decodeOK      decodeResult = iota
	decodeShort                // the data ends before the record does
	decodeDamaged              // a checksum does not match
)

func appendRecord(dst []byte, r record) []byte {
	start := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(r.payload)))
	dst = binary.LittleEndian.AppendUint64(dst, uint64(r.sequence))
	dst = binary.LittleEndian.AppendUint64(dst, uint64(r.durable))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Checksum(r.payload, castagnoli))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Checksum(dst[start:], castagnoli))
	return append(dst, r.payload...)
}

// decodeRecord decodes the record at the start of data. The payload aliases data. size is 0 if the header is
// incomplete or invalid.
func decodeRecord(data []byte) (r record, size int, result decodeResult) {
	if len(data) < recordHeaderBytes {
		return r, 0, decodeShort
	}
	header := data[:recordHeaderBytes]
	sum := binary.LittleEndian.Uint32(header[24:])
	if crc32.Checksum(header[:24], castagnoli) != sum {
		return r, 0, decodeDamaged
	}
	length := binary.LittleEndian.Uint32(header)
	if length > MaxRecordBytes {
		return r, 0, decodeDamaged
	}
	size = recordHeaderBytes + int(length)
	if size > len(data) {
		return r, size, decodeShort
	}
	payload := data[recordHeaderBytes:size:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[20:]) {
		return r, size, decodeDamaged
	}
	r.sequence = Sequence(binary.LittleEndian.Uint64(header[4:]))
	r.durable = Sequence(binary.LittleEndian.Uint64(header[12:]))
	r.payload = payload
	return r, size, decodeOK
}

// isTorn reports whether the undecodable bytes from offset on may be the remainder of an unsynced write.
// next is the sequence number expected at offset. A later record that was appended after next had been synced
// proves that durable data is damaged.
func isTorn(data []byte, offset int, next Sequence) bool {
	if laterRecordProvesSync(data[offset+1:], next) {
		return false
	}
	_, size, result := decodeRecord(data[offset:])
	if result == decodeShort {
		return true
	}
	if size == 0 {
		size = recordHeaderBytes
	}
	return hasZeroSector(data, offset, offset+size)
}

// laterRecordProvesSync reports whether data contains a record that was appended after next had been synced.
func laterRecordProvesSync(data []byte, next Sequence) bool {
	for offset := 0; offset+recordHeaderBytes <= len(data); offset++ {
		// Comparing the two numbers first avoids computing the checksum at almost every offset.
		sequence := Sequence(binary.LittleEndian.Uint64(data[offset+4:]))
		durable := Sequence(binary.LittleEndian.Uint64(data[offset+12:]))
		if sequence <= next || durable < next || durable >= sequence {
			continue
		}
		if _, _, result := decodeRecord(data[offset:]); result == decodeOK {
			return true
		}
	}
	return false
}

// hasZeroSector reports whether the part of a disk sector from byte `from` on is all zeros, for any sector
// that overlaps data[from:to]. A file system may extend a file before the data of each sector is written; the
// missing sectors then read as zeros.
func hasZeroSector(data []byte, from, to int) bool {
	for start := from; start < min(to, len(data)); {
		end := min((start/sectorBytes+1)*sectorBytes, len(data))
		if isZero(data[start:end]) {
			return true
		}
		start = end
	}
	return false
}

func isZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
