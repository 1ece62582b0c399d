import { setTimeout as delay } from "node:timers/promises";
import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";
import type { DecideMapRequest } from "@clementinemux/messages/DecideMapRequest";
import type { DecideMapResponse } from "@clementinemux/messages/DecideMapResponse";
import type { GroupLeaseRequest } from "@clementinemux/messages/GroupLeaseRequest";
import type { GroupLeaseResponse } from "@clementinemux/messages/GroupLeaseResponse";
import type { ProposeRequest } from "@clementinemux/messages/ProposeRequest";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import type { WireError } from "@clementinemux/wire/WireError";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { ControlError } from "./ControlError";
import { ControlErrorCode } from "./ControlErrorCode";
import { getClaimGroup } from "./getClaimGroup";

interface ControlClientOptions {
  /** Addresses of the control replicas for frames. */
  readonly addresses: readonly string[];
  readonly claimGroups: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly tls?: TlsFiles | undefined;
}

interface RemoteDetail {
  readonly code: ControlErrorCode;
  readonly detail: unknown;
}

type Result<Value> = Promise<Either<ControlError, Value>>;

// An election takes up to 2 s, so a call to a silent leader has to time out early enough to reach the next
// one.
const attemptTimeoutMs = 700;
const firstBackoffMs = 20;
const maxBackoffMs = 300;
const finalCodes: readonly ControlErrorCode[] = [ControlErrorCode.Invalid, ControlErrorCode.Refused];

/** Calls the leader of a log group: tries the replicas, follows redirects, and retries until a deadline. */
export class ControlClient {
  readonly #options: ControlClientOptions;
  readonly #links: PeerLinks;
  readonly #leaders = new Map<string, string>();
  #next = 0;

  constructor(options: ControlClientOptions) {
    this.#options = options;
    this.#links = new PeerLinks(options.tls);
    this.#next = Math.floor(options.random() * options.addresses.length);
  }

  propose(request: ProposeRequest, deadlineMs: number): Result<ProposeResponse> {
    return this.call("config", MessageName.Propose, request, deadlineMs);
  }

  claim(request: ClaimRequest, deadlineMs: number): Result<ClaimResponse> {
    return this.#callClaims(MessageName.Claim, request, deadlineMs);
  }

  completeClaim(request: CompleteClaimRequest, deadlineMs: number): Result<ClaimResponse> {
    return this.#callClaims(MessageName.CompleteClaim, request, deadlineMs);
  }

  cancelClaim(request: CancelClaimRequest, deadlineMs: number): Result<{ readonly cancelled: boolean }> {
    return this.#callClaims(MessageName.CancelClaim, request, deadlineMs);
  }

  /** Fetches the response for a key without claiming it; null when the key is not known. */
  lookupClaim(request: { team: string; key: string }, deadlineMs: number): Result<ClaimResponse | null> {
    return this.#callClaims(MessageName.LookupClaim, request, deadlineMs);
  }

  groupLease(request: GroupLeaseRequest, deadlineMs: number): Result<GroupLeaseResponse> {
    return this.call("config", MessageName.GroupLease, request, deadlineMs);
  }

  decideMap(request: DecideMapRequest, deadlineMs: number): Result<DecideMapResponse> {
    return this.call("config", MessageName.DecideMap, request, deadlineMs);
  }

  /**
   * Sends the same message until the group's leader responds or `deadlineMs` from now have passed.
   * After the error `deadline` the outcome is unknown; the same request can be sent again safely.
   */
  async call<Value>(group: string, name: MessageName, body: unknown, deadlineMs: number): Result<Value> {
    const { clock, random } = this.#options;
    const endMs = clock.monotonicMs() + deadlineMs;
    let backoffMs = firstBackoffMs;
    let lastError = "no replica was tried";
    for (;;) {
      const leftMs = endMs - clock.monotonicMs();
      if (leftMs <= 0) {
        const text = `no response to "${name}" from group "${group}" within ${deadlineMs} ms: ${lastError}`;
        return Left(new ControlError(ControlErrorCode.Deadline, text));
      }
      const address = this.#getAddress(group);
      const answer = await this.#links.call(address, name, body, Math.min(attemptTimeoutMs, leftMs));
      const error = answer.swap().toMaybe().extractNullable();
      if (error === null) {
        this.#leaders.set(group, address);
        return Right(answer.extract() as Value);
      }
      const detail = getRemoteDetail(error);
      if (detail !== null && finalCodes.includes(detail.code)) {
        return Left(new ControlError(detail.code, error.message, detail.detail));
      }
      lastError = `${address}: ${error.message}`;
      if (this.#followRedirect(group, address, detail)) {
        continue;
      }
      await delay(Math.min(backoffMs * (0.5 + random()), leftMs));
      backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
    }
  }

  close(): void {
    this.#links.close();
  }

  #callClaims<Value>(
    name: MessageName,
    request: { readonly team: string; readonly key: string },
    deadlineMs: number,
  ): Result<Value> {
    const group = getClaimGroup(request.team, request.key, this.#options.claimGroups);
    return this.call(group, name, request, deadlineMs);
  }

  #getAddress(group: string): string {
    const { addresses } = this.#options;
    return this.#leaders.get(group) ?? addresses[this.#next % addresses.length] ?? "";
  }

  /** Returns whether another address should be tried without a delay. */
  #followRedirect(group: string, tried: string, detail: RemoteDetail | null): boolean {
    const leader = (detail?.detail as { leader?: string | null } | undefined)?.leader ?? null;
    if (detail?.code === ControlErrorCode.NotLeader && leader !== null && leader !== tried) {
      // A redirect by a replica that was itself the target of a redirect may be a loop between stale views.
      const isFirst = this.#leaders.get(group) !== tried;
      this.#leaders.set(group, leader);
      return isFirst;
    }
    if (
      detail === null ||
      detail.code === ControlErrorCode.NotLeader ||
      detail.code === ControlErrorCode.UnknownGroup
    ) {
      this.#leaders.delete(group);
      this.#next += 1;
    }
    return false;
  }
}

function getRemoteDetail(error: WireError): RemoteDetail | null {
  return error.code === WireErrorCode.Remote ? (error.detail as RemoteDetail) : null;
}
