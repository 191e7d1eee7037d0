package controlplane

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// Outcome is the result of evaluating or applying a command.
type Outcome int

// The outcomes of a command. All but OutcomeAcceptable are final: a command that is sent again
// gets the same outcome, or OutcomeUnknown.
const (
	// OutcomeAcceptable: the command can be applied to the current state.
	OutcomeAcceptable Outcome = iota
	// OutcomeApplied: the command was applied, now or when it was sent earlier. Neither the commands
	// applied since then nor the base that it names now make a difference.
	OutcomeApplied
	// OutcomeConflict: the command was not applied and never can be, because its base is not
	// the current revision.
	OutcomeConflict
	// OutcomeInvalid: the command was not applied and never can be, because it can't be decoded
	// or its revision is not higher than the current one.
	OutcomeInvalid
	// OutcomeUnknown: the command may have been applied so long ago that the state no longer
	// remembers it. Rejecting it could contradict an earlier acknowledgement.
	OutcomeUnknown
)

// httpStatus returns the HTTP status that the operator API responds with. 0: there is no result
// yet.
func (o Outcome) httpStatus() int {
	switch o {
	case OutcomeApplied:
		return http.StatusOK
	case OutcomeConflict:
		return http.StatusPreconditionFailed
	case OutcomeInvalid:
		return http.StatusBadRequest
	case OutcomeUnknown:
		return http.StatusServiceUnavailable
	}
	return 0
}

// Decision is an outcome with its reason, which is empty if the command was or can be applied.
type Decision struct {
	Outcome Outcome
	Reason  string
}

// result returns a decision as the response to an operator.
func (d Decision) result() api.ControlResponse {
	return api.ControlResponse{Status: d.Outcome.httpStatus(), Reason: d.Reason}
}

// Evaluate returns the decision on a command, without applying it: to replace revision base by a
// configuration with the given revision and fingerprint.
//
// OutcomeAcceptable doesn't depend on which revisions are remembered: revisions only increase, so
// a command that was applied can't have the current revision as its base and a higher revision of
// its own. Members that remember different revisions, such as one whose snapshot comes from a
// version without digests, therefore apply the same commands; they can only differ in whether an
// old command is OutcomeApplied or OutcomeUnknown.
func (s *State) Evaluate(base, revision uint64, content fingerprint) Decision {
	i, remembered := slices.BinarySearchFunc(s.Applied, revision, func(a appliedRevision, revision uint64) int {
		return cmp.Compare(a.Revision, revision)
	})
	switch {
	case remembered && s.Applied[i].matches(content):
		return Decision{Outcome: OutcomeApplied}
	case base < revision && revision < s.oldestRemembered(): // a revision not higher than its base was never applied
		return Decision{Outcome: OutcomeUnknown, Reason: fmt.Sprintf("it can't be told any more whether "+
			"revision %d was taken: those from %d on are remembered, the current one is %d",
			revision, s.oldestRemembered(), s.Revision)}
	case base != s.Revision:
		return Decision{Outcome: OutcomeConflict,
			Reason: fmt.Sprintf("Base-Revision %d: the current version is %d", base, s.Revision)}
	case revision <= s.Revision:
		return Decision{Outcome: OutcomeInvalid,
			Reason: fmt.Sprintf("revision %d is not above the current %d", revision, s.Revision)}
	}
	return Decision{Outcome: OutcomeAcceptable}
}

// Apply applies the command in the data of a committed entry. The same entries in the same
// order give the same state on every member. The decision is final.
func (s *State) Apply(data []byte) Decision {
	var command replaceCommand
	if err := cbor.Unmarshal(data, &command); err != nil {
		return Decision{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	content := command.fingerprint()
	decision := s.Evaluate(command.Base, command.Revision, content)
	if decision.Outcome != OutcomeAcceptable {
		return decision
	}
	s.archiveNewest()
	s.AppliedFrom = s.oldestRemembered()
	s.Revision = command.Revision
	s.Uncompressed, s.Compressed = command.Uncompressed, command.Compressed
	s.Applied = append(s.Applied, appliedRevision{Revision: command.Revision, fingerprint: content})
	s.trimApplied(maxAppliedRevisions)
	return Decision{Outcome: OutcomeApplied}
}
