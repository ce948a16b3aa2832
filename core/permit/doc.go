// Package permit divides the slots of backend servers among entry instances. The Granter
// runs on the zone leader, a Holder on each entry instance. Both are pure: time is passed in.
package permit
