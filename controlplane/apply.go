package controlplane

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// Outcome is what a command comes to.
type Outcome int

// The outcomes of a command. All but OutcomeAcceptable are final: a command that has one of
// them gets it again whenever it is sent again, or OutcomeUnknown.
const (
	// OutcomeAcceptable: the command can be applied as things stand.
	OutcomeAcceptable Outcome = iota
	// OutcomeApplied: the command was applied, now or when it was sent before, whatever was
	// applied after it and whichever base it names now.
	OutcomeApplied
	// OutcomeConflict: the command was not applied and never can be, as its base is not the
	// current revision.
	OutcomeConflict
	// OutcomeInvalid: the command was not applied and never can be, as it can't be decoded or
	// its revision is not above the current one.
	OutcomeInvalid
	// OutcomeUnknown: the command may have been applied so long ago that this is not
	// remembered. To refuse it could refuse what was acknowledged.
	OutcomeUnknown
)

// httpStatus is the status of the operator's interface for each outcome. 0: there is no
// result yet.
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

// Decision is an outcome with its reason, which is empty where the command was or can be
// applied.
type Decision struct {
	Outcome Outcome
	Reason  string
}

// result returns a decision as operators are answered with it.
func (d Decision) result() api.ControlResponse {
	return api.ControlResponse{Status: d.Outcome.httpStatus(), Reason: d.Reason}
}

// Evaluate decides, without applying it, about the command to replace revision base by a
// configuration with a fingerprint.
//
// OutcomeAcceptable doesn't depend on which revisions are remembered: revisions rise, so a
// command that was applied is never one whose base is the current revision and whose own is
// higher. Members that remember different revisions, such as one that has its snapshot from a
// version without digests, therefore apply the same commands; they can only differ in whether
// a command of long ago is OutcomeApplied or OutcomeUnknown.
func (s *State) Evaluate(base, revision uint64, content fingerprint) Decision {
	i, remembered := slices.BinarySearchFunc(s.Applied, revision, func(a appliedRevision, revision uint64) int {
		return cmp.Compare(a.Revision, revision)
	})
	switch {
	case remembered && s.Applied[i].matches(content):
		return Decision{Outcome: OutcomeApplied}
	case base < revision && revision < s.oldestRemembered(): // a revision below its base was never applied
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
