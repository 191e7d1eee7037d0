package process

import (
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// errLocalBusy is returned by callLocal while an earlier call is still unanswered. The caller
// tries the next member.
var errLocalBusy = errors.New("process: the local member has not answered an earlier call yet")

// errNoMember is returned to other processes while this one has no active member because it
// is bootstrapping, is replacing its member, or stays out of the control plane. Callers try
// the next member.
var errNoMember = status.Error(codes.Unavailable, "no control plane member is active on this machine")
