// Package zone holds an instance's replica of its zone's state: it applies
// committed commands, tells the rest of the process what they changed, and
// proposes new ones.
package zone
