import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
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

/** Gives the orders of an activation for the lead of a group, from another process than the lead's. */
export class MapActivator {
  readonly #options: MapActivatorOptions;
  readonly #ways = new Map<string, RankWay>();

  constructor(options: MapActivatorOptions) {
    this.#options = options;
  }

  /** Resolves with true when all orders were given. A lead that hears no answer goes on itself. */
  async activate(request: ActivateRequest): Promise<boolean> {
    const { fence, version, epoch, leadSteps, places, states } = request;
    const ways = places.map((place) => this.#getWay(place));
    const activation = new GroupActivation({
      inspect: async (rank) =>
        (await ways[rank]?.inspect(fence, InspectionPart.None))?.state ??
        ways[rank]?.inspectDirectly() ??
        null,
      // A rank that is no longer prepared is the lead's matter: only it knows the whole map.
      order: async (order) =>
        order.kind === HoldOrderKind.Prepare
          ? false
          : ((await ways[order.rank]?.order(fence, order)) ?? null),
      nowMs: () => this.#options.clock.monotonicMs(),
      leadSteps,
    });
    activation.aim({ version, epoch, hosting: [] });
    await activation.advance(states);
    this.#options.logger.info({ version, epoch, fence, leadSteps }, "map activated");
    return true;
  }

  #getWay(place: RankPlace): RankWay {
    const known = this.#ways.get(place.address);
    if (known !== undefined) {
      return known;
    }
    const { links, openRank, orders, refusedOrders, logger } = this.#options;
    const direct = openRank(place.address);
    const way = new RankLink({ links, place, direct, orders, refusedOrders, logger });
    this.#ways.set(place.address, way);
    return way;
  }
}
