import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import { ClaimState } from "@clementinemux/messages/ClaimState";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";
import type { RecordedAnswer } from "@clementinemux/messages/RecordedAnswer";
import type { ClaimClient } from "@clementinemux/entry/ClaimClient";

interface Held {
  readonly bodyDigest: string;
  readonly requestId: string;
  readonly attempt: number;
  state: ClaimState;
  answer: RecordedAnswer | null;
  cancelled: boolean;
}

/** In-memory claims of one shard, shared by the entries of a test. */
export class MemoryClaims implements ClaimClient {
  available = true;
  losesCancelAnswers = false;
  losesClaimAnswers = false;
  cancelCount = 0;
  readonly #held = new Map<string, Held>();

  claim(request: ClaimRequest): Promise<ClaimResponse | null> {
    if (!this.available) {
      return Promise.resolve(null);
    }
    const name = `${request.team}|${request.key}`;
    const known = this.#held.get(name);
    if (known !== undefined && known.bodyDigest !== request.bodyDigest) {
      return Promise.resolve({ state: ClaimState.KeyReused, attempt: known.attempt, answer: null });
    }
    if (known === undefined || known.cancelled) {
      const attempt = (known?.attempt ?? 0) + 1;
      const { bodyDigest, requestId } = request;
      const state = ClaimState.InProgress;
      this.#held.set(name, { bodyDigest, requestId, attempt, state, answer: null, cancelled: false });
      const granted = { state: ClaimState.Granted, attempt, answer: null };
      return Promise.resolve(this.losesClaimAnswers ? null : granted);
    }
    const isOwn = known.requestId === request.requestId && known.state === ClaimState.InProgress;
    const state = isOwn ? ClaimState.Granted : known.state;
    return Promise.resolve({ state, attempt: known.attempt, answer: known.answer });
  }

  complete(request: CompleteClaimRequest): Promise<boolean> {
    const known = this.#held.get(`${request.team}|${request.key}`);
    if (known?.requestId === request.requestId && known.attempt === request.attempt) {
      known.state = request.answer === null ? ClaimState.OutcomeUnknown : ClaimState.Recorded;
      known.answer = request.answer;
    }
    return Promise.resolve(true);
  }

  cancel(request: CancelClaimRequest): Promise<boolean | null> {
    if (!this.available) {
      return Promise.resolve(null);
    }
    this.cancelCount += 1;
    const known = this.#held.get(`${request.team}|${request.key}`);
    if (known?.requestId === request.requestId && known.attempt === (request.attempt ?? known.attempt)) {
      known.cancelled = true;
    }
    return Promise.resolve(this.losesCancelAnswers ? null : true);
  }
}
