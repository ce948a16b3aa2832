// Package config reads and validates the INI settings of the daemon. One table holds the section,
// key, type, default, limits and description of each setting; docs/settings.md is generated from it.
package config
