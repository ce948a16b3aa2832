package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

// A snapshot file is: magic, length of meta, length of data, checksum of meta and lengths,
// checksum of data, meta, data.
const (
	snapMagic = "vbsnap01"
	snapHead  = 8 + 4 + 8 + 4 + 4
	// maxMeta bounds the description of a snapshot, in bytes.
	maxMeta = 1 << 20
)

func snapName(index uint64) string { return fmt.Sprintf("snap-%016x", index) }

func encodeSnap(s quorum.Snapshot) (head []byte, err error) {
	meta, err := cbor.Marshal(s.Meta)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode snapshot description: %v", err)
	}
	b := []byte(snapMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(meta)))
	b = binary.LittleEndian.AppendUint64(b, uint64(len(s.Data)))
	sum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, meta)
	b = binary.LittleEndian.AppendUint32(b, sum)
	b = binary.LittleEndian.AppendUint32(b, quorum.SnapshotChecksum(s.Data))
	return append(b, meta...), nil
}

// decodeSnap reads a snapshot file; the data shares memory with b.
func decodeSnap(b []byte) (quorum.Snapshot, error) {
	var s quorum.Snapshot
	if len(b) < snapHead || string(b[:8]) != snapMagic {
		return s, fault.Wrap(fault.ErrCorrupt, "snapshot head of %d bytes", len(b))
	}
	metaSize := binary.LittleEndian.Uint32(b[8:])
	dataSize := binary.LittleEndian.Uint64(b[12:])
	rest := b[snapHead:]
	if metaSize > maxMeta || uint64(metaSize) > uint64(len(rest)) || dataSize != uint64(len(rest))-uint64(metaSize) {
		return s, fault.Wrap(fault.ErrCorrupt, "snapshot of %d bytes has meta %d and data %d", len(b), metaSize, dataSize)
	}
	meta, data := rest[:metaSize], rest[metaSize:]
	if binary.LittleEndian.Uint32(b[20:]) != crc32.Update(crc32.Checksum(b[:20], castagnoli), castagnoli, meta) {
		return s, fault.Wrap(fault.ErrCorrupt, "snapshot description has a wrong checksum")
	}
	if binary.LittleEndian.Uint32(b[24:]) != quorum.SnapshotChecksum(data) {
		return s, fault.Wrap(fault.ErrCorrupt, "snapshot data has a wrong checksum")
	}
	if err := decoder.Unmarshal(meta, &s.Meta); err != nil {
		return quorum.Snapshot{}, fault.Wrap(fault.ErrCorrupt, "snapshot description: %v", err)
	}
	s.Data = data
	return s, nil
}

// writeFile replaces a file atomically: it is synced under another name and renamed.
func writeFile(fs FS, name string, parts ...[]byte) error {
	f, err := fs.Create(name + tmpSuffix)
	if err != nil {
		return err
	}
	for _, p := range parts {
		if _, err = f.Write(p); err != nil {
			break
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if closing := f.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return err
	}
	if err := fs.Rename(name+tmpSuffix, name); err != nil {
		return err
	}
	return fs.SyncDir()
}

const tmpSuffix = ".tmp"
