// Package admit orders the requests that wait for a permit: weighted fair shares by caller
// and class, deadlines, and early refusal. It is pure: time is passed in.
package admit
