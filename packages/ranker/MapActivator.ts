import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { MapVersions } from "@clementinemux/experts/hold/MapVersions";
import type { RankFence } from "@clementinemux/experts/hold/RankFence";
import type { Counters } from "@clementinemux/metrics/Counters";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { ActivateRequest } from "./ActivateRequest";
import { InspectionPart } from "./InspectionPart";
import type { OrderOutcome } from "./OrderOutcome";
import type { RankClient } from "./RankClient";
import { RankLink } from "./RankLink";
import type { RankPlace } from "./RankPlace";
import type { RankWay } from "./RankWay";

interface MapActivatorOptions {
  readonly links: PeerLinks;
  /** Opens the direct way to a rank at its address. */
  readonly openRank: (address: string) => RankClient;
  readonly orders: Counters<OrderOutcome>;
  readonly refusedOrders: Counters<HoldOrderKind>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Time after the receipt of a request in which orders are given. The lead gives them itself after 70 ms without an answer,
 * with higher fencing numbers, so that later ones would be refused in any case.
 */
const orderWindowMs = 200;

/** Gives the orders of an activation for the lead of a group, from another process than the lead's. */
export class MapActivator {
  readonly #options: MapActivatorOptions;
  readonly #rankLinks = new Map<string, RankLink>();

  constructor(options: MapActivatorOptions) {
    this.#options = options;
  }

  /**
   * Resolves with whether the time for orders sufficed and none is left without an answer. A lead that hears no answer goes
   * on itself, so that a process that stood still must neither order anything nor judge by states that it has read before
   * and after that.
   */
  async activate(request: ActivateRequest): Promise<boolean> {
    const { fence, version, epoch, leadSteps, places, silentRanks = [], states } = request;
    const { clock, logger } = this.#options;
    const endMs = clock.monotonicMs() + orderWindowMs;
    const isOver = (): boolean => clock.monotonicMs() >= endMs;
    const term = FenceNumbers.getTerm(fence);
    const ways = places.map((place) => this.#getLink(place));
    for (const rank of silentRanks) {
      ways[rank]?.noteSilence();
    }
    const activation = new GroupActivation({
      inspect: (rank) => (isOver() ? Promise.resolve(null) : inspectRank(ways[rank], term)),
      order: (order, rankFence) =>
        isOver() ? Promise.resolve(null) : sendOrder(ways[order.rank], rankFence, order),
      fences: new FenceNumbers(fence),
      nowMs: () => clock.monotonicMs(),
      leadSteps,
      reservedVersion: new MapVersions(term).reserved,
    });
    activation.aim({ version, epoch, hosting: [] });
    await activation.advance(states);
    const isInTime = !isOver();
    const isAnswered = !activation.hasUnanswered;
    const line = { version, epoch, term, fence, leadSteps, isInTime, isAnswered };
    logger.info(line, "orders of an activation given");
    return isInTime && isAnswered;
  }

  #getLink(place: RankPlace): RankLink {
    const known = this.#rankLinks.get(place.address);
    if (known !== undefined) {
      return known;
    }
    const { links, openRank, orders, refusedOrders, clock, logger } = this.#options;
    const direct = openRank(place.address);
    const way = new RankLink({ links, place, direct, orders, refusedOrders, clock, logger });
    this.#rankLinks.set(place.address, way);
    return way;
  }
}

async function inspectRank(way: RankWay | undefined, term: number): Promise<HeldRank | null> {
  return (await way?.inspect(term, InspectionPart.None))?.state ?? way?.inspectDirectly() ?? null;
}

async function sendOrder(
  way: RankWay | undefined,
  fence: RankFence,
  order: HoldOrder,
): Promise<boolean | null> {
  // A rank that is no longer prepared is the lead's matter: only it knows the whole map.
  return order.kind === HoldOrderKind.Prepare ? false : ((await way?.order(fence, order)) ?? null);
}
