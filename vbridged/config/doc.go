// Package config reads the INI settings of the daemon. One table holds the section, key, unit,
// default, documentation and check of each setting; docs/settings.md is printed from it.
package config
