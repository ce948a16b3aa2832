package trace

import "encoding/json"

// The kinds of events.
const (
	KindAccepted        Kind = "accepted"
	KindPlaced          Kind = "placed"
	KindLeased          Kind = "leased"
	KindStarted         Kind = "started"
	KindEnded           Kind = "ended"
	KindRefused         Kind = "refused"
	KindRequeued        Kind = "requeued"
	KindCommanded       Kind = "commanded"
	KindCancelled       Kind = "cancelled"
	KindRouted          Kind = "routed"
	KindRetried         Kind = "retried"
	KindSpilled         Kind = "spilled"
	KindEpochChanged    Kind = "epochchanged"
	KindLeaderChanged   Kind = "leaderchanged"
	KindVotersChanged   Kind = "voterschanged"
	KindConfigApplied   Kind = "configapplied"
	KindConfigRefused   Kind = "configrefused"
	KindServerJoined    Kind = "serverjoined"
	KindServerLeft      Kind = "serverleft"
	KindWorkerJoined    Kind = "workerjoined"
	KindWorkerLost      Kind = "workerlost"
	KindWorkerSuspended Kind = "workersuspended"
	KindWorkerRestored  Kind = "workerrestored"
	KindPeerReached     Kind = "peerreached"
	KindPeerLost        Kind = "peerlost"
	KindRestarted       Kind = "restarted"
	KindReady           Kind = "ready"
	KindDraining        Kind = "draining"
	KindDrained         Kind = "drained"
	KindFailed          Kind = "failed"
)

// Kind returns KindAccepted.
func (Accepted) Kind() Kind { return KindAccepted }

// Kind returns KindPlaced.
func (Placed) Kind() Kind { return KindPlaced }

// Kind returns KindLeased.
func (Leased) Kind() Kind { return KindLeased }

// Kind returns KindStarted.
func (Started) Kind() Kind { return KindStarted }

// Kind returns KindEnded.
func (Ended) Kind() Kind { return KindEnded }

// Kind returns KindRefused.
func (Refused) Kind() Kind { return KindRefused }

// Kind returns KindRequeued.
func (Requeued) Kind() Kind { return KindRequeued }

// Kind returns KindCommanded.
func (Commanded) Kind() Kind { return KindCommanded }

// Kind returns KindCancelled.
func (Cancelled) Kind() Kind { return KindCancelled }

// Kind returns KindRouted.
func (Routed) Kind() Kind { return KindRouted }

// Kind returns KindRetried.
func (Retried) Kind() Kind { return KindRetried }

// Kind returns KindSpilled.
func (Spilled) Kind() Kind { return KindSpilled }

// Kind returns KindEpochChanged.
func (EpochChanged) Kind() Kind { return KindEpochChanged }

// Kind returns KindLeaderChanged.
func (LeaderChanged) Kind() Kind { return KindLeaderChanged }

// Kind returns KindVotersChanged.
func (VotersChanged) Kind() Kind { return KindVotersChanged }

// Kind returns KindConfigApplied.
func (ConfigApplied) Kind() Kind { return KindConfigApplied }

// Kind returns KindConfigRefused.
func (ConfigRefused) Kind() Kind { return KindConfigRefused }

// Kind returns KindServerJoined.
func (ServerJoined) Kind() Kind { return KindServerJoined }

// Kind returns KindServerLeft.
func (ServerLeft) Kind() Kind { return KindServerLeft }

// Kind returns KindWorkerJoined.
func (WorkerJoined) Kind() Kind { return KindWorkerJoined }

// Kind returns KindWorkerLost.
func (WorkerLost) Kind() Kind { return KindWorkerLost }

// Kind returns KindWorkerSuspended.
func (WorkerSuspended) Kind() Kind { return KindWorkerSuspended }

// Kind returns KindWorkerRestored.
func (WorkerRestored) Kind() Kind { return KindWorkerRestored }

// Kind returns KindPeerReached.
func (PeerReached) Kind() Kind { return KindPeerReached }

// Kind returns KindPeerLost.
func (PeerLost) Kind() Kind { return KindPeerLost }

// Kind returns KindRestarted.
func (Restarted) Kind() Kind { return KindRestarted }

// Kind returns KindReady.
func (Ready) Kind() Kind { return KindReady }

// Kind returns KindDraining.
func (Draining) Kind() Kind { return KindDraining }

// Kind returns KindDrained.
func (Drained) Kind() Kind { return KindDrained }

// Kind returns KindFailed.
func (Failed) Kind() Kind { return KindFailed }

// decodersByKind holds the JSON decoder of each type of event.
var decodersByKind = map[Kind]func([]byte) (Event, error){
	KindAccepted:        decode[Accepted],
	KindPlaced:          decode[Placed],
	KindLeased:          decode[Leased],
	KindStarted:         decode[Started],
	KindEnded:           decode[Ended],
	KindRefused:         decode[Refused],
	KindRequeued:        decode[Requeued],
	KindCommanded:       decode[Commanded],
	KindCancelled:       decode[Cancelled],
	KindRouted:          decode[Routed],
	KindRetried:         decode[Retried],
	KindSpilled:         decode[Spilled],
	KindEpochChanged:    decode[EpochChanged],
	KindLeaderChanged:   decode[LeaderChanged],
	KindVotersChanged:   decode[VotersChanged],
	KindConfigApplied:   decode[ConfigApplied],
	KindConfigRefused:   decode[ConfigRefused],
	KindServerJoined:    decode[ServerJoined],
	KindServerLeft:      decode[ServerLeft],
	KindWorkerJoined:    decode[WorkerJoined],
	KindWorkerLost:      decode[WorkerLost],
	KindWorkerSuspended: decode[WorkerSuspended],
	KindWorkerRestored:  decode[WorkerRestored],
	KindPeerReached:     decode[PeerReached],
	KindPeerLost:        decode[PeerLost],
	KindRestarted:       decode[Restarted],
	KindReady:           decode[Ready],
	KindDraining:        decode[Draining],
	KindDrained:         decode[Drained],
	KindFailed:          decode[Failed],
}

// Kinds returns all kinds of events.
func Kinds() []Kind {
	return []Kind{
		KindAccepted,
		KindPlaced,
		KindLeased,
		KindStarted,
		KindEnded,
		KindRefused,
		KindRequeued,
		KindCommanded,
		KindCancelled,
		KindRouted,
		KindRetried,
		KindSpilled,
		KindEpochChanged,
		KindLeaderChanged,
		KindVotersChanged,
		KindConfigApplied,
		KindConfigRefused,
		KindServerJoined,
		KindServerLeft,
		KindWorkerJoined,
		KindWorkerLost,
		KindWorkerSuspended,
		KindWorkerRestored,
		KindPeerReached,
		KindPeerLost,
		KindRestarted,
		KindReady,
		KindDraining,
		KindDrained,
		KindFailed,
	}
}

func decode[E Event](data []byte) (Event, error) {
	var e E
	err := json.Unmarshal(data, &e)
	return e, err
}
