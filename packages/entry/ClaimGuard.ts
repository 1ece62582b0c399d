import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import { ClaimState } from "@clementinemux/messages/ClaimState";
import type { RecordedAnswer } from "@clementinemux/messages/RecordedAnswer";
import type { ClaimClient } from "./ClaimClient";

/** Claim of one non-repeatable request: at most one dispatch for each granted attempt. */
export class ClaimGuard {
  readonly #client: ClaimClient;
  readonly #request: ClaimRequest;
  #attempt = 0;
  #held = false;
  #dispatched = false;

  constructor(client: ClaimClient, request: ClaimRequest) {
    this.#client = client;
    this.#request = request;
  }

  /** Resolves with null when no committed answer was received; the request must then not be dispatched. */
  async claim(): Promise<ClaimResponse | null> {
    const answer = await this.#client.claim(this.#request);
    if (answer === null) {
      void this.#giveUpLostClaim();
      return null;
    }
    this.#attempt = answer.attempt;
    this.#held = answer.state === ClaimState.Granted;
    this.#dispatched = false;
    return answer;
  }

  /**
   * Uses up the right to dispatch. After a dispatch that is proved not to have run, the claim is cancelled and
   * made again. Resolves with whether a dispatch is allowed now.
   */
  async takeDispatch(): Promise<boolean> {
    if (this.#held && this.#dispatched) {
      const isRenewed = (await this.cancel()) && (await this.claim())?.state === ClaimState.Granted;
      if (!isRenewed) {
        return false;
      }
    }
    if (!this.#held) {
      return false;
    }
    this.#dispatched = true;
    return true;
  }

  /** Gives the claim up, when no dispatch has run. Resolves with whether that is known to be committed. */
  async cancel(): Promise<boolean> {
    if (!this.#held) {
      return true;
    }
    this.#held = false;
    return this.#client.cancel({ ...this.#getKey(), attempt: this.#attempt });
  }

  /** Records the answer, or with null that the outcome is unknown. */
  async complete(answer: RecordedAnswer | null): Promise<boolean> {
    if (!this.#held) {
      return false;
    }
    this.#held = false;
    return this.#client.complete({ ...this.#getKey(), attempt: this.#attempt, answer });
  }

  /**
   * The claim may be committed although its answer was lost. It is asked for again to learn the attempt, and
   * cancelled so that a resend may run. A cancellation with a guessed attempt could hit the claim of another
   * request of this entry with the same key.
   */
  async #giveUpLostClaim(): Promise<void> {
    const answer = await this.#client.claim(this.#request);
    if (answer?.state === ClaimState.Granted) {
      await this.#client.cancel({ ...this.#getKey(), attempt: answer.attempt });
    }
  }

  #getKey(): Pick<ClaimRequest, "team" | "key" | "claimant"> {
    const { team, key, claimant } = this.#request;
    return { team, key, claimant };
  }
}
