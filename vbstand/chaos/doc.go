// Package chaos holds the process-level fault tests. They run the built programs of the folder
// that VBSTAND_BIN names, and are skipped without it. VBSTAND_KEEP names a folder that keeps
// logs and journals.
package chaos
