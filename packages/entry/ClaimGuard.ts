import type { Random } from "@clementinemux/common/Random";
import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import { ClaimState } from "@clementinemux/messages/ClaimState";
import type { RecordedResponse } from "@clementinemux/messages/RecordedResponse";
import type { ClaimClient } from "./ClaimClient";

interface RetryTiming {
  readonly random: Random;
  readonly wait: (ms: number) => Promise<unknown>;
}

type CancelKey = Pick<CancelClaimRequest, "team" | "key" | "claimant" | "requestId">;

// Covers about two minutes of backoff, plus the client's timeouts. If control is unreachable for longer, the
// claim expires there with an unknown outcome.
const maxCancelAttempts = 30;
const firstBackoffMs = 200;
const maxBackoffMs = 5000;

/** Claim of one non-repeatable request. Allows at most one dispatch for each granted attempt. */
export class ClaimGuard {
  readonly #client: ClaimClient;
  readonly #firstRequest: ClaimRequest;
  readonly #timing: RetryTiming;
  #request: ClaimRequest;
  #renewalCount = 0;
  #attempt = 0;
  #held = false;
  #dispatched = false;

  constructor(client: ClaimClient, request: ClaimRequest, timing: RetryTiming) {
    this.#client = client;
    this.#firstRequest = request;
    this.#request = request;
    this.#timing = timing;
  }

  /** Resolves with null when no committed response was received. The request must then not be dispatched. */
  async claim(): Promise<ClaimResponse | null> {
    const response = await this.#client.claim(this.#request);
    if (response === null) {
      void this.#cancelLostClaim(this.#request);
      return null;
    }
    this.#attempt = response.attempt;
    this.#held = response.state === ClaimState.Granted;
    this.#dispatched = false;
    return response;
  }

  /**
   * Consumes the permission to dispatch. After a dispatch that is proven not to have run, the claim is
   * cancelled and made again. Resolves with whether a dispatch is allowed now.
   */
  async authorizeDispatch(): Promise<boolean> {
    if (this.#held && this.#dispatched) {
      if (!(await this.cancel())) {
        return false;
      }
      // A cancelled request id is never granted again, so a duplicated claim message does no harm.
      this.#renewalCount += 1;
      this.#request = {
        ...this.#firstRequest,
        requestId: `${this.#firstRequest.requestId}/${this.#renewalCount}`,
      };
      if ((await this.claim())?.state !== ClaimState.Granted) {
        return false;
      }
    }
    if (!this.#held) {
      return false;
    }
    this.#dispatched = true;
    return true;
  }

  /** Cancels the claim when no dispatch has run. Resolves with whether this is known to be committed. */
  async cancel(): Promise<boolean> {
    if (!this.#held) {
      return true;
    }
    this.#held = false;
    return (await this.#client.cancel({ ...getKey(this.#request), attempt: this.#attempt })) === true;
  }

  /** Records the response; null records that the outcome is unknown. */
  async complete(response: RecordedResponse | null): Promise<boolean> {
    if (!this.#held) {
      return false;
    }
    this.#held = false;
    return this.#client.complete({ ...getKey(this.#request), attempt: this.#attempt, answer: response });
  }

  /**
   * Cancels a claim whose response was lost, because it may have been committed. It is cancelled by request
   * id, so that the caller's retry may run. This is safe without the attempt number: only this request may
   * dispatch under its claim, and it does not.
   */
  async #cancelLostClaim(request: ClaimRequest): Promise<void> {
    const cancellation = { ...getKey(request), attempt: null };
    let backoffMs = firstBackoffMs;
    for (let attempt = 0; attempt < maxCancelAttempts; attempt += 1) {
      if ((await this.#client.cancel(cancellation)) !== null) {
        return;
      }
      await this.#timing.wait(backoffMs * (0.5 + this.#timing.random()));
      backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
    }
  }
}

function getKey({ team, key, claimant, requestId }: ClaimRequest): CancelKey {
  return { team, key, claimant, requestId };
}
