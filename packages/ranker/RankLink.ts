import { setTimeout as sleep } from "node:timers/promises";
import type { Either } from "purify-ts/Either";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import type { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import { getExpertsDigest } from "@clementinemux/experts/hold/getExpertsDigest";
import type { Counters } from "@clementinemux/metrics/Counters";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { RemoteErrorBody } from "@clementinemux/wire/RemoteErrorBody";
import type { WireError } from "@clementinemux/wire/WireError";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { CountDecoder } from "./CountDecoder";
import type { InspectRequest } from "./InspectRequest";
import { InspectionPart } from "./InspectionPart";
import type { OrderOutcome } from "./OrderOutcome";
import { OrderPath } from "./OrderPath";
import type { EncodedInspection } from "./EncodedInspection";
import type { RankClient } from "./RankClient";
import type { RankInspection } from "./RankInspection";
import type { RankMembership } from "./RankMembership";
import type { PrepareRequest } from "./PrepareRequest";
import type { RankEndpoints } from "./RankEndpoints";
import { describeOrder } from "./describeOrder";
import { getOrderOutcome } from "./getOrderOutcome";
import { packHosting } from "./packHosting";
import type { RankChannel } from "./RankChannel";

interface RankLinkOptions {
  readonly links: PeerLinks;
  readonly endpoints: RankEndpoints;
  /** The rank itself, used when its ranker does not respond; the platform charges for calls by this path. */
  readonly direct: RankClient;
  readonly orders: Counters<OrderOutcome>;
  readonly refusedOrders: Counters<HoldOrderKind>;
  readonly clock: Clock;
  readonly logger: Logger;
}

const inspectTimeoutMs = 200;
/** Greatest age of a rank's report to another instance: up to 200 ms, plus the time in transit. */
const maxReportLagMs = 250;
/**
 * Shorter than the two forward passes that a group runs before a hold, so that a retry doesn't delay the
 * group.
 */
const orderTimeoutMs = 70;
/**
 * An order to prepare does not pause the group. The maps for 200 ranks take the link of a small instance longer than
 * `orderTimeoutMs`, and sending them again by the other path would only add to it.
 */
const prepareTimeoutMs = 400;
/** Code with which `RpcServer` answers a message that it does not know. */
const unknownMessageCode: string = WireErrorCode.UnknownMessage;
/**
 * A ranker counts as silent for this long after a request without a response. A leader polls several times
 * within it.
 */
const silenceMs = 1000;

/** Connection to one rank: through its ranker, or directly while the ranker is silent. */
export class RankLink implements RankChannel {
  readonly #options: RankLinkOptions;
  readonly #countDecoder = new CountDecoder();
  #lastOrderAtMs = -Infinity;
  /** Time of the last request that the ranker left without a response; reset by each response. */
  #lastSilentAtMs = -Infinity;

  constructor(options: RankLinkOptions) {
    this.#options = options;
  }

  get endpoints(): RankEndpoints {
    return this.#options.endpoints;
  }

  /** To be called when the ranker has not responded to another process. */
  markRankerSilent(): void {
    this.#lastSilentAtMs = this.#options.clock.monotonicMs();
  }

  /**
   * A silent ranker is queried for counts only, by the regular polls, which find out when it responds again.
   */
  async inspect(term: number, part: InspectionPart): Promise<RankInspection | null> {
    const { links, endpoints } = this.#options;
    if (part !== InspectionPart.Counts && this.#isRankerSilent) {
      return null;
    }
    const countsHeld = this.#countDecoder.baseId;
    const request: InspectRequest = { fence: term, part, countsHeld, acceptsDeflated: true };
    const response = await links.call(
      endpoints.rankerAddress,
      MessageName.InspectRank,
      request,
      inspectTimeoutMs,
    );
    this.#recordRankerResponse(response);
    const inspection = response.toMaybe().extractNullable() as EncodedInspection | null;
    if (inspection === null) {
      return null;
    }
    const counts = inspection.counts === null ? [] : this.#countDecoder.decode(inspection.counts);
    return counts === null ? null : { ...inspection, counts };
  }

  /**
   * What a rank reports to another instance may predate the last order, so this waits until reports from
   * before the order have aged out.
   */
  async inspectDirectly(): Promise<RankHoldState | null> {
    const { clock, direct } = this.#options;
    const waitMs = this.#lastOrderAtMs + maxReportLagMs - clock.monotonicMs();
    if (waitMs > 0) {
      await sleep(waitMs);
    }
    return direct.inspectState();
  }

  /** Group and number of the rank, as reported by itself; null when there was no response. */
  readMembershipDirectly(): Promise<RankMembership | null> {
    return this.#options.direct.readMembership();
  }

  async readActiveExpertsDirectly(version: number): Promise<readonly (readonly number[])[] | null> {
    const active = await this.#options.direct.readActiveExperts();
    return active?.version === version ? active.experts : null;
  }

  async readPreparedDigestDirectly(version: number): Promise<number | null> {
    const prepared = await this.#options.direct.readPreparedExperts();
    return prepared?.version === version ? getExpertsDigest(prepared.experts) : null;
  }

  /**
   * Sends an order by the preferred path for its kind, and by the other path when there is no response.
   *
   * While the ranker is silent, the direct path is preferred, since waiting for the ranker would pause the
   * group for longer. Hold and go always take the direct path first: while the ranker's instance is stalled,
   * no other process could resume the group, whereas a leader is replaced within a second or two.
   *
   * The second path has a higher fence: once the rank has accepted that copy, it rejects the one without a
   * response. If the rank rejects the second copy, the first one may still be carried out, so the result is
   * null.
   */
  async order(fence: RankFencingToken, order: HoldOrder): Promise<boolean | null> {
    const { orders, refusedOrders, clock } = this.#options;
    const isDirect =
      order.kind === HoldOrderKind.Hold || order.kind === HoldOrderKind.Go || this.#isRankerSilent;
    const paths = [
      () => this.#orderDirectly(fence.value, order),
      () => this.#orderThroughRanker(fence.value, order),
    ] as const;
    const [first, second] = isDirect ? paths : [paths[1], paths[0]];
    let response = await first();
    if (response === null) {
      fence.raise();
      const isAccepted = await second();
      response = isAccepted === true ? true : null;
    }
    this.#lastOrderAtMs = clock.monotonicMs();
    orders.add(getOrderOutcome(response));
    if (response === false) {
      refusedOrders.add(order.kind);
    }
    return response;
  }

  /** Logs the response of the rank. The client logs a direct order without a response. */
  async #orderDirectly(fence: number, order: HoldOrder): Promise<boolean | null> {
    const { direct, logger } = this.#options;
    const isConfirmed = await direct.order(order, fence);
    if (isConfirmed === true) {
      logger.info({ ...this.#describe(fence, order, OrderPath.Direct), isConfirmed }, "order given");
    }
    if (isConfirmed === false) {
      logger.warn(this.#describe(fence, order, OrderPath.Direct), "order refused");
    }
    return isConfirmed;
  }

  /** Logs orders that are not confirmed; the ranker logs the orders that it forwards. */
  async #orderThroughRanker(fence: number, order: HoldOrder): Promise<boolean | null> {
    const { logger } = this.#options;
    const response = await this.#callRanker(fence, order);
    // The ranker waits for its rank, which may not respond, so a timeout doesn't show that the ranker is
    // silent. Only an inspection can show that.
    if (!response.caseOf({ Left: ({ code }) => code === WireErrorCode.Timeout, Right: () => false })) {
      this.#recordRankerResponse(response);
    }
    return response.caseOf({
      Left: (error) => {
        const { message } = error;
        // The ranker has responded with an error: it follows a newer leader.
        const isRefused = isRemoteError(error);
        const line = { ...this.#describe(fence, order, OrderPath.Ranker), why: message };
        logger.warn(line, isRefused ? "order refused" : "no answer to an order");
        return isRefused ? false : null;
      },
      Right: (body) => {
        const isConfirmed = body as boolean | null;
        if (isConfirmed === false) {
          logger.warn(this.#describe(fence, order, OrderPath.Ranker), "order refused");
        }
        return isConfirmed;
      },
    });
  }

  /** A ranker of an earlier release does not know compressed maps. */
  async #callRanker(fence: number, order: HoldOrder): Promise<Either<WireError, unknown>> {
    const { links, endpoints } = this.#options;
    const { rankerAddress } = endpoints;
    if (order.kind !== HoldOrderKind.Prepare) {
      return links.call(rankerAddress, MessageName.OrderRank, { fence, order }, orderTimeoutMs);
    }
    const { hosting, ...fields } = order;
    const request: PrepareRequest = { fence, order: fields, packedHosting: packHosting(hosting) };
    const response = await links.call(rankerAddress, MessageName.PrepareRank, request, prepareTimeoutMs);
    const isUnknown = response.swap().toMaybe().filter(isUnknownMessage).isJust();
    return isUnknown
      ? links.call(rankerAddress, MessageName.OrderRank, { fence, order }, prepareTimeoutMs)
      : response;
  }

  get #isRankerSilent(): boolean {
    return this.#options.clock.monotonicMs() - this.#lastSilentAtMs < silenceMs;
  }

  #recordRankerResponse(response: Either<WireError, unknown>): void {
    const isAnswered = response.caseOf({ Left: isRemoteError, Right: () => true });
    this.#lastSilentAtMs = isAnswered ? -Infinity : this.#options.clock.monotonicMs();
  }

  #describe(fence: number, order: HoldOrder, path: OrderPath) {
    const { address, rankerAddress } = this.#options.endpoints;
    return {
      ...describeOrder(order),
      term: FencingTokens.getTerm(fence),
      fence,
      way: path,
      address: path === OrderPath.Direct ? address : rankerAddress,
    };
  }
}

function isRemoteError({ code }: WireError): boolean {
  return code === WireErrorCode.Remote;
}

function isUnknownMessage({ code, detail }: WireError): boolean {
  return code === WireErrorCode.Remote && (detail as RemoteErrorBody).code === unknownMessageCode;
}
