package quorum

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// membershipEntry is the content of an entry of type EntryMembership.
//
// While previousVoters is set, the membership is joint: a change of voters has begun. Every decision then needs a
// majority of previousVoters and a majority of the voters of members. As long as both sets bear the loss of a number of
// replicas, the group does so in every moment of the change, even if it ends half done.
type membershipEntry struct {
	members        Membership
	previousVoters []ID
}

func (m membershipEntry) isJoint() bool { return len(m.previousVoters) > 0 }

// voterSets returns the sets of voters of which each must have a majority for a decision.
func (m membershipEntry) voterSets() [][]ID {
	sets := [][]ID{m.members.Voters()}
	if m.isJoint() {
		sets = append(sets, m.previousVoters)
	}
	return sets
}

// encodedJoint is the encoding of a joint membership. Other memberships are encoded as an array of members. Versions
// that know only these fail to decode a map and don't acknowledge the entry.
type encodedJoint struct {
	Members        Membership `cbor:"1,keyasint"`
	PreviousVoters []ID       `cbor:"2,keyasint"`
}

func (m membershipEntry) encode() []byte {
	if m.isJoint() {
		return marshal(encodedJoint{m.members, m.previousVoters})
	}
	return marshal(m.members)
}

func marshal(m any) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Cannot happen: the types hold only strings, numbers and booleans.
	}
	return b
}

// cborMap is the major type of maps in the first three bits of a CBOR item.
const cborMap = 5

func decodeMembership(b []byte) (membershipEntry, error) {
	if len(b) == 0 || b[0]>>5 != cborMap {
		var m Membership
		err := decoder.Unmarshal(b, &m)
		return membershipEntry{members: m}, err
	}
	var joint encodedJoint
	if err := decoder.Unmarshal(b, &joint); err != nil {
		return membershipEntry{}, err
	}
	for _, id := range joint.PreviousVoters {
		if _, ok := joint.Members.Find(id); !ok {
			return membershipEntry{}, fault.Wrap(fault.ErrCorrupt, "previous voter %q is not a member", id)
		}
	}
	if len(joint.PreviousVoters) == 0 {
		return membershipEntry{}, fault.Wrap(fault.ErrCorrupt, "joint membership without previous voters")
	}
	return membershipEntry{joint.Members, joint.PreviousVoters}, nil
}

// hasMajorities reports whether a majority of each set of voters meets a condition.
func hasMajorities(sets [][]ID, meets func(ID) bool) bool {
	for _, set := range sets {
		count := 0
		for _, id := range set {
			if meets(id) {
				count++
			}
		}
		if count <= len(set)/2 {
			return false
		}
	}
	return true
}

// majorityValue returns the highest value that a majority of each set of voters has reached.
func majorityValue[T clock.Millis | uint64](sets [][]ID, valueOf func(ID) T) T {
	var lowest T
	for i, set := range sets {
		if len(set) == 0 {
			return 0
		}
		values := make([]T, 0, len(set))
		for _, id := range set {
			values = append(values, valueOf(id))
		}
		slices.Sort(values)
		if v := values[(len(values)-1)/2]; i == 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}
