// Package permit divides the request slots of backend servers among entry instances. A Granter
// runs on the leader of each zone and a Holder on each entry instance. A Holder may always use
// its floor, a fixed share of a server's slots. The remaining slots, the pool, are granted as
// credits that expire. Both state machines are free of I/O; the time is passed in.
package permit
