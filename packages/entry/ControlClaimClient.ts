import type { Either } from "purify-ts/Either";
import type { ControlClient } from "@clementinemux/control/ControlClient";
import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";
import type { ClaimClient } from "./ClaimClient";

/** Sends claims to the leader of the key's shard. */
export class ControlClaimClient implements ClaimClient {
  readonly #control: ControlClient;
  readonly #timeoutMs: number;

  constructor(control: ControlClient, timeoutMs: number) {
    this.#control = control;
    this.#timeoutMs = timeoutMs;
  }

  async claim(request: ClaimRequest): Promise<ClaimResponse | null> {
    return getOrNull(await this.#control.claim(request, this.#timeoutMs));
  }

  async complete(request: CompleteClaimRequest): Promise<boolean> {
    return (await this.#control.completeClaim(request, this.#timeoutMs)).isRight();
  }

  async cancel(request: CancelClaimRequest): Promise<boolean | null> {
    const response = getOrNull(await this.#control.cancelClaim(request, this.#timeoutMs));
    return response?.cancelled ?? null;
  }
}

function getOrNull<Value>(response: Either<Error, Value>): Value | null {
  return response.toMaybe().extractNullable();
}
