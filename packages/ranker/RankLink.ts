import { setTimeout as sleep } from "node:timers/promises";
import type { Either } from "purify-ts/Either";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import type { RankFence } from "@clementinemux/experts/hold/RankFence";
import { getExpertsDigest } from "@clementinemux/experts/hold/getExpertsDigest";
import type { Counters } from "@clementinemux/metrics/Counters";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { WireError } from "@clementinemux/wire/WireError";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { CountReceiver } from "./CountReceiver";
import type { InspectRequest } from "./InspectRequest";
import { InspectionPart } from "./InspectionPart";
import type { OrderOutcome } from "./OrderOutcome";
import { OrderWay } from "./OrderWay";
import type { PackedInspection } from "./PackedInspection";
import type { RankClient } from "./RankClient";
import type { RankInspection } from "./RankInspection";
import type { RankMembership } from "./RankMembership";
import type { RankPlace } from "./RankPlace";
import { describeOrder } from "./describeOrder";
import { getOrderOutcome } from "./getOrderOutcome";
import type { RankWay } from "./RankWay";

interface RankLinkOptions {
  readonly links: PeerLinks;
  readonly place: RankPlace;
  /** The rank itself, used when the process beside it does not answer; that way is priced by the platform. */
  readonly direct: RankClient;
  readonly orders: Counters<OrderOutcome>;
  readonly refusedOrders: Counters<HoldOrderKind>;
  readonly clock: Clock;
  readonly logger: Logger;
}

const inspectTimeoutMs = 200;
/** Age of what a rank reports to another instance than its own: up to 200 ms, and the time on the way. */
const maxReportLagMs = 250;
/** Shorter than the two passes that a group runs before a hold, so that an order can be given again without a pause. */
const orderTimeoutMs = 70;
/** Time for which a process that has not answered a look is taken for silent; a lead looks several times within it. */
const silenceMs = 1000;

/** Way to one rank: through the process beside it, and straight when that process is silent. */
export class RankLink implements RankWay {
  readonly #options: RankLinkOptions;
  readonly #countDecoder = new CountReceiver();
  #lastOrderAtMs = -Infinity;
  /** When the process beside the rank last gave no answer; cleared by each answer. */
  #lastSilentAtMs = -Infinity;

  constructor(options: RankLinkOptions) {
    this.#options = options;
  }

  get place(): RankPlace {
    return this.#options.place;
  }

  /** To be called when the process beside the rank has not answered somebody else. */
  noteSilence(): void {
    this.#lastSilentAtMs = this.#options.clock.monotonicMs();
  }

  /** A process that is taken for silent is asked for counts only, which the regular looks do. */
  async inspect(term: number, part: InspectionPart): Promise<RankInspection | null> {
    const { links, place } = this.#options;
    if (part !== InspectionPart.Counts && this.#isRankerSilent) {
      return null;
    }
    const request: InspectRequest = { fence: term, part, countsHeld: this.#countDecoder.held };
    const answer = await links.call(place.rankerAddress, MessageName.InspectRank, request, inspectTimeoutMs);
    this.#recordRankerResponse(answer);
    const inspection = answer.toMaybe().extractNullable() as PackedInspection | null;
    if (inspection === null) {
      return null;
    }
    const counts = inspection.counts === null ? [] : this.#countDecoder.unpack(inspection.counts);
    return counts === null ? null : { ...inspection, counts };
  }

  /** What a rank reports to another instance may be from before the last order, so that it is read later than that. */
  async inspectDirectly(): Promise<HeldRank | null> {
    const { clock, direct } = this.#options;
    const waitMs = this.#lastOrderAtMs + maxReportLagMs - clock.monotonicMs();
    if (waitMs > 0) {
      await sleep(waitMs);
    }
    return direct.inspectState();
  }

  /** Place of the rank in its group by its own word; null when there was no answer. */
  readMembershipDirectly(): Promise<RankMembership | null> {
    return this.#options.direct.readMembership();
  }

  async readExpertsDirectly(version: number): Promise<readonly (readonly number[])[] | null> {
    const inForce = await this.#options.direct.readInForce();
    return inForce?.version === version ? inForce.experts : null;
  }

  async readPreparedDirectly(version: number): Promise<number | null> {
    const prepared = await this.#options.direct.readPrepared();
    return prepared?.version === version ? getExpertsDigest(prepared.experts) : null;
  }

  /**
   * Gives an order by the shorter way for its kind, and by the other one when there is no answer. While the process beside
   * the rank is taken for silent, the direct way is the shorter one: waiting for that process holds the group longer. Hold
   * and go are always given directly: while the machine beside a rank stands still nobody else can let its group go,
   * whereas a lead is replaced within a second or two. The second way has a higher fence, so that the rank refuses the
   * order that had no answer once it has accepted the other one. Where it refuses that, the first one may still be
   * carried out, so that there is no answer.
   */
  async order(fence: RankFence, order: HoldOrder): Promise<boolean | null> {
    const { orders, refusedOrders, clock } = this.#options;
    const isDirect =
      order.kind === HoldOrderKind.Hold || order.kind === HoldOrderKind.Go || this.#isRankerSilent;
    const ways = [
      () => this.#orderDirectly(fence.number, order),
      () => this.#orderThroughRanker(fence.number, order),
    ] as const;
    const [first, second] = isDirect ? ways : [ways[1], ways[0]];
    let answer = await first();
    if (answer === null) {
      fence.raise();
      const isAccepted = await second();
      answer = isAccepted === true ? true : null;
    }
    this.#lastOrderAtMs = clock.monotonicMs();
    orders.add(getOrderOutcome(answer));
    if (answer === false) {
      refusedOrders.add(order.kind);
    }
    return answer;
  }

  /** Logs what the rank answered; an order without an answer is logged by the direct way itself. */
  async #orderDirectly(fence: number, order: HoldOrder): Promise<boolean | null> {
    const { direct, logger } = this.#options;
    const isConfirmed = await direct.order(order, fence);
    if (isConfirmed === true) {
      logger.info({ ...this.#describe(fence, order, OrderWay.Direct), isConfirmed }, "order given");
    }
    if (isConfirmed === false) {
      logger.warn(this.#describe(fence, order, OrderWay.Direct), "order refused");
    }
    return isConfirmed;
  }

  /** Logs orders that are not confirmed; the process beside the rank logs what it gives. */
  async #orderThroughRanker(fence: number, order: HoldOrder): Promise<boolean | null> {
    const { links, place, logger } = this.#options;
    const { rankerAddress } = place;
    const answer = await links.call(rankerAddress, MessageName.OrderRank, { fence, order }, orderTimeoutMs);
    // The process waits for its rank, which may leave an order unanswered; only a look tells whether it is silent itself.
    if (!answer.caseOf({ Left: ({ code }) => code === WireErrorCode.Timeout, Right: () => false })) {
      this.#recordRankerResponse(answer);
    }
    return answer.caseOf({
      Left: (error) => {
        const { message } = error;
        // A process that has answered serves another lead.
        const isRefused = isRemoteError(error);
        const line = { ...this.#describe(fence, order, OrderWay.Ranker), why: message };
        logger.warn(line, isRefused ? "order refused" : "no answer to an order");
        return isRefused ? false : null;
      },
      Right: (body) => {
        const isConfirmed = body as boolean | null;
        if (isConfirmed === false) {
          logger.warn(this.#describe(fence, order, OrderWay.Ranker), "order refused");
        }
        return isConfirmed;
      },
    });
  }

  get #isRankerSilent(): boolean {
    return this.#options.clock.monotonicMs() - this.#lastSilentAtMs < silenceMs;
  }

  #recordRankerResponse(answer: Either<WireError, unknown>): void {
    const isAnswered = answer.caseOf({ Left: isRemoteError, Right: () => true });
    this.#lastSilentAtMs = isAnswered ? -Infinity : this.#options.clock.monotonicMs();
  }

  #describe(fence: number, order: HoldOrder, way: OrderWay) {
    const { address, rankerAddress } = this.#options.place;
    return {
      ...describeOrder(order),
      term: FenceNumbers.getTerm(fence),
      fence,
      way,
      address: way === OrderWay.Direct ? address : rankerAddress,
    };
  }
}

function isRemoteError({ code }: WireError): boolean {
  return code === WireErrorCode.Remote;
}
