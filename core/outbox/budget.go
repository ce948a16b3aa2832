package outbox

// Budget divides the descriptors of a process among its uses, so that none of them can use up those
// of the others.
type Budget struct {
	// Inbound is the number of connections accepted from operators and workers.
	Inbound int
	// Holds and Orders are the numbers of connections to workers, for holds and for orders.
	Holds, Orders int
}

// Shares of the descriptors in percent. The rest is for connections with other instances, files and
// the ticket service.
const (
	inboundPercent = 20
	holdsPercent   = 35
	ordersPercent  = 30
	// callersPercent leaves room for connections that are being closed.
	callersPercent = 50
)

// unlimitedDescriptors is the budget of a process without a known limit.
const unlimitedDescriptors = 1 << 16

// DivideDescriptors returns the budget of a process that may have this many descriptors open, or an
// ample one if the number is not known.
func DivideDescriptors(descriptors int) Budget {
	return Budget{Inbound: share(descriptors, inboundPercent), Holds: share(descriptors, holdsPercent), Orders: share(descriptors, ordersPercent)}
}

// CallerConns returns how many connections of callers may be open at an instance that may have this many descriptors open,
// or an ample number if that is not known.
func CallerConns(descriptors int) int { return share(descriptors, callersPercent) }

// share returns a share of the descriptors, at least one.
func share(descriptors, percent int) int {
	if descriptors <= 0 {
		descriptors = unlimitedDescriptors
	}
	return max(1, descriptors*percent/100)
}

// maxOrdersPerWorker bounds the orders for one worker at a time; a worker accepts 64 connections, and those
// of a leader that has just been replaced may still be open.
const maxOrdersPerWorker = 8

// OrdersPerWorker returns how many orders for one worker may be in progress at a time, since short tasks of
// one step on a far worker would otherwise start one round trip after the other. With more workers than half
// of the connections for orders it is 1.
func (b Budget) OrdersPerWorker(workers int) int {
	if b.KeptPerWorker(workers) < 2 {
		return 1
	}
	return maxOrdersPerWorker
}

// KeptPerWorker returns how many connections for orders to one worker may stay open between orders. Each worker has one for
// its hold; what is left of those serves orders too, since each new connection costs a start two round trips.
func (b Budget) KeptPerWorker(workers int) int {
	unusedHolds := max(0, b.Holds-workers)
	return min((b.Orders+unusedHolds)/max(workers, 1), maxOrdersPerWorker)
}

// KeepsConnections reports whether the connections to this many workers can stay open between calls:
// one for the hold and one for orders each.
func (b Budget) KeepsConnections(workers int) bool { return workers <= min(b.Holds, b.Orders) }
