package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

// A snapshot file holds: magic, length of the metadata, length of the data, checksum of magic,
// lengths and metadata, checksum of the data, metadata, data. Integers are little-endian.
const (
	snapshotMagic      = "vbsnap01"
	snapshotHeaderSize = 8 + 4 + 8 + 4 + 4
	// maxMetaBytes bounds the encoded metadata of a snapshot.
	maxMetaBytes = 1 << 20
)

func snapshotName(index uint64) string { return fmt.Sprintf("snap-%016x", index) }

func encodeSnapshotHead(s quorum.Snapshot) (head []byte, err error) {
	meta, err := cbor.Marshal(s.Meta)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode snapshot metadata: %v", err)
	}
	b := []byte(snapshotMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(meta)))
	b = binary.LittleEndian.AppendUint64(b, uint64(len(s.Data)))
	sum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, meta)
	b = binary.LittleEndian.AppendUint32(b, sum)
	b = binary.LittleEndian.AppendUint32(b, quorum.SnapshotChecksum(s.Data))
	return append(b, meta...), nil
}

// decodeSnapshot decodes a snapshot file. The returned data shares memory with b.
func decodeSnapshot(b []byte) (quorum.Snapshot, error) {
	var s quorum.Snapshot
	if len(b) < snapshotHeaderSize || string(b[:8]) != snapshotMagic {
		return s, fault.Wrap(fault.ErrCorrupt, "snapshot header is damaged in a file of %d bytes", len(b))
	}
	metaSize := binary.LittleEndian.Uint32(b[8:])
	dataSize := binary.LittleEndian.Uint64(b[12:])
	rest := b[snapshotHeaderSize:]
	if metaSize > maxMetaBytes || uint64(metaSize) > uint64(len(rest)) || dataSize != uint64(len(rest))-uint64(metaSize) {
		return s, fault.Wrap(fault.ErrCorrupt, "snapshot file of %d bytes has wrong lengths: %d bytes of metadata and %d of data", len(b), metaSize, dataSize)
	}
	meta, data := rest[:metaSize], rest[metaSize:]
	if binary.LittleEndian.Uint32(b[20:]) != crc32.Update(crc32.Checksum(b[:20], castagnoli), castagnoli, meta) {
		return s, fault.Wrap(fault.ErrCorrupt, "snapshot metadata has a wrong checksum")
	}
	if binary.LittleEndian.Uint32(b[24:]) != quorum.SnapshotChecksum(data) {
		return s, fault.Wrap(fault.ErrCorrupt, "snapshot data has a wrong checksum")
	}
	if err := decoder.Unmarshal(meta, &s.Meta); err != nil {
		return quorum.Snapshot{}, fault.Wrap(fault.ErrCorrupt, "decode snapshot metadata: %v", err)
	}
	s.Data = data
	return s, nil
}

// writeFileAtomically creates or replaces a file: it writes and syncs a temporary file and renames
// it.
func writeFileAtomically(fs FS, name string, parts ...[]byte) error {
	f, err := fs.Create(name + tmpSuffix)
	if err != nil {
		return asFull(err, "create "+name)
	}
	for _, p := range parts {
		if _, err = f.Write(p); err != nil {
			break
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		// The file has not got its name yet, so nothing depends on it.
		return asFull(err, "write "+name)
	}
	if err := fs.Rename(name+tmpSuffix, name); err != nil {
		return err
	}
	return fs.SyncDir()
}

const tmpSuffix = ".tmp"
