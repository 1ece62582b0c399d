import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import { ClaimState } from "@clementinemux/messages/ClaimState";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";
import type { RecordedResponse } from "@clementinemux/messages/RecordedResponse";
import type { ClaimClient } from "@clementinemux/entry/ClaimClient";

interface StoredClaim {
  readonly bodyDigest: string;
  readonly requestId: string;
  readonly attempt: number;
  state: ClaimState;
  answer: RecordedResponse | null;
  cancelled: boolean;
}

/** In-memory claims of one shard, shared by the entries of a test. */
export class InMemoryClaimClient implements ClaimClient {
  available = true;
  losesCancelResponses = false;
  losesClaimResponses = false;
  cancelCount = 0;
  readonly #claims = new Map<string, StoredClaim>();

  claim(request: ClaimRequest): Promise<ClaimResponse | null> {
    if (!this.available) {
      return Promise.resolve(null);
    }
    const name = `${request.team}|${request.key}`;
    const existing = this.#claims.get(name);
    if (existing !== undefined && existing.bodyDigest !== request.bodyDigest) {
      return Promise.resolve({ state: ClaimState.KeyReused, attempt: existing.attempt, answer: null });
    }
    if (existing === undefined || existing.cancelled) {
      const attempt = (existing?.attempt ?? 0) + 1;
      const { bodyDigest, requestId } = request;
      const state = ClaimState.InProgress;
      this.#claims.set(name, { bodyDigest, requestId, attempt, state, answer: null, cancelled: false });
      const granted = { state: ClaimState.Granted, attempt, answer: null };
      return Promise.resolve(this.losesClaimResponses ? null : granted);
    }
    const isOwn = existing.requestId === request.requestId && existing.state === ClaimState.InProgress;
    const state = isOwn ? ClaimState.Granted : existing.state;
    return Promise.resolve({ state, attempt: existing.attempt, answer: existing.answer });
  }

  complete(request: CompleteClaimRequest): Promise<boolean> {
    const existing = this.#claims.get(`${request.team}|${request.key}`);
    if (existing?.requestId === request.requestId && existing.attempt === request.attempt) {
      existing.state = request.answer === null ? ClaimState.OutcomeUnknown : ClaimState.Recorded;
      existing.answer = request.answer;
    }
    return Promise.resolve(true);
  }

  cancel(request: CancelClaimRequest): Promise<boolean | null> {
    if (!this.available) {
      return Promise.resolve(null);
    }
    this.cancelCount += 1;
    const existing = this.#claims.get(`${request.team}|${request.key}`);
    if (
      existing?.requestId === request.requestId &&
      existing.attempt === (request.attempt ?? existing.attempt)
    ) {
      existing.cancelled = true;
    }
    return Promise.resolve(this.losesCancelResponses ? null : true);
  }
}
