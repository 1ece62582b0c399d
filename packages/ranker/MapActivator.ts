import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { MapVersionAllocator } from "@clementinemux/experts/hold/MapVersionAllocator";
import type { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import type { Counters } from "@clementinemux/metrics/Counters";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { ActivateRequest } from "./ActivateRequest";
import { InspectionPart } from "./InspectionPart";
import type { OrderOutcome } from "./OrderOutcome";
import type { RankClient } from "./RankClient";
import { RankLink } from "./RankLink";
import type { RankEndpoints } from "./RankEndpoints";
import type { RankChannel } from "./RankChannel";

interface MapActivatorOptions {
  readonly links: PeerLinks;
  /** Creates a client that reaches the rank at its address directly. */
  readonly openRank: (address: string) => RankClient;
  readonly orders: Counters<OrderOutcome>;
  readonly refusedOrders: Counters<HoldOrderKind>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Orders are sent only for this long after the receipt of a request. The leader sends them itself after 70 ms
 * without a response, with higher fencing numbers, so that later orders would be rejected anyway.
 */
const orderWindowMs = 200;

/**
 * Sends the orders of a map activation on behalf of a group's leader, from another process than the leader's.
 */
export class MapActivator {
  readonly #options: MapActivatorOptions;
  readonly #rankLinks = new Map<string, RankLink>();

  constructor(options: MapActivatorOptions) {
    this.#options = options;
  }

  /**
   * Resolves with true when all orders were sent within the window and each got a response. A leader that
   * gets no response sends the orders itself. This process may stall meanwhile, and must then neither send
   * orders nor combine states that it has read before and after the stall.
   */
  async activate(request: ActivateRequest): Promise<boolean> {
    const { fence, version, epoch, leadSteps, places, silentRanks = [], states } = request;
    const { clock, logger } = this.#options;
    const endMs = clock.monotonicMs() + orderWindowMs;
    const isOver = (): boolean => clock.monotonicMs() >= endMs;
    const term = FencingTokens.getTerm(fence);
    const rankLinks = places.map((endpoints) => this.#getLink(endpoints));
    for (const rank of silentRanks) {
      rankLinks[rank]?.markRankerSilent();
    }
    const activation = new GroupActivation({
      inspect: (rank) => (isOver() ? Promise.resolve(null) : inspectRank(rankLinks[rank], term)),
      order: (order, rankFence) =>
        isOver() ? Promise.resolve(null) : sendOrder(rankLinks[order.rank], rankFence, order),
      tokens: new FencingTokens(fence),
      nowMs: () => clock.monotonicMs(),
      leadSteps,
      reservedVersion: new MapVersionAllocator(term).reserved,
    });
    activation.setDesiredMap({ version, epoch, hosting: [] });
    await activation.advance(states);
    const isInTime = !isOver();
    const isAnswered = !activation.hasUnacknowledgedOrders;
    const line = { version, epoch, term, fence, leadSteps, isInTime, isAnswered };
    logger.info(line, "orders of an activation given");
    return isInTime && isAnswered;
  }

  #getLink(endpoints: RankEndpoints): RankLink {
    const known = this.#rankLinks.get(endpoints.address);
    if (known !== undefined) {
      return known;
    }
    const { links, openRank, orders, refusedOrders, clock, logger } = this.#options;
    const direct = openRank(endpoints.address);
    const link = new RankLink({ links, endpoints, direct, orders, refusedOrders, clock, logger });
    this.#rankLinks.set(endpoints.address, link);
    return link;
  }
}

async function inspectRank(link: RankChannel | undefined, term: number): Promise<RankHoldState | null> {
  return (await link?.inspect(term, InspectionPart.None))?.state ?? link?.inspectDirectly() ?? null;
}

async function sendOrder(
  link: RankChannel | undefined,
  fence: RankFencingToken,
  order: HoldOrder,
): Promise<boolean | null> {
  // A rank that is no longer prepared is left to the leader, since only the leader knows the whole map.
  return order.kind === HoldOrderKind.Prepare ? false : ((await link?.order(fence, order)) ?? null);
}
