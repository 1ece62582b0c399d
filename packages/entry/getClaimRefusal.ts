import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { ClaimState } from "@clementinemux/messages/ClaimState";

interface ClaimRefusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
}

const refusalsByState: Readonly<Record<ClaimState, ClaimRefusal | null>> = {
  [ClaimState.Granted]: null,
  [ClaimState.Recorded]: null,
  [ClaimState.InProgress]: { reason: RefusalReason.ClaimInProgress, outcome: Outcome.Unknown },
  [ClaimState.OutcomeUnknown]: { reason: RefusalReason.ClaimOutcomeUnknown, outcome: Outcome.Unknown },
  [ClaimState.KeyReused]: { reason: RefusalReason.KeyReused, outcome: Outcome.NotRun },
  // The first request with this key may have run, but this retry has not.
  [ClaimState.KeyExpired]: { reason: RefusalReason.KeyExpired, outcome: Outcome.NotRun },
};

/** Returns the refusal for a claim state; null when the request is not rejected. */
export function getClaimRefusal(state: ClaimState): ClaimRefusal | null {
  return refusalsByState[state];
}
