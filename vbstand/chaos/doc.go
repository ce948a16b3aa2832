// Package chaos tests a cluster of processes under faults. The tests run the built programs in the
// folder named by VBSTAND_BIN, and are skipped if it is not set. If VBSTAND_KEEP names a folder, logs
// and journals are kept there.
package chaos
