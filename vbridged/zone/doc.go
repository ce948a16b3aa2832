// Package zone holds an instance's replica of its zone's state. It applies
// committed commands, notifies subscribers of the resulting changes, and
// proposes new commands.
package zone
