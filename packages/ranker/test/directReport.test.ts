import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import { RankLink } from "@clementinemux/ranker/RankLink";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { silentClient } from "./silentClient";

/** Age of a rank's state when another instance reads it. */
const lagMs = 200;
const idle: RankHoldState = {
  rank: 0,
  epoch: 1,
  isOpen: true,
  step: 2,
  mapVersion: 0,
  preparedVersion: null,
  armed: null,
  heldStep: null,
};

// Guards against a decision from a report that is older than the leader's own order, such as a second hold.
t.test("a direct report after an order shows the effect of the order", async (t) => {
  const clock = new SystemClock();
  let heldAtMs = Infinity;
  const links = new PeerLinks(undefined);
  t.teardown(() => {
    links.close();
  });
  const link = new RankLink({
    links,
    endpoints: { address: "127.0.0.1:9", rankerAddress: "127.0.0.1:9" },
    direct: {
      ...silentClient,
      inspectState: () => {
        const isShown = clock.monotonicMs() - lagMs >= heldAtMs;
        return Promise.resolve({ ...idle, heldStep: isShown ? 4 : null });
      },
      order: () => {
        heldAtMs = clock.monotonicMs();
        return Promise.resolve(true);
      },
    },
    orders: new Counters("orders", "outcome", Object.values(OrderOutcome)),
    refusedOrders: new Counters("refused", "kind", Object.values(HoldOrderKind)),
    clock,
    logger: createLogger("test", {}),
  });
  const fence = new RankFencingToken(FencingTokens.ofTerm(1));
  t.equal((await link.inspectDirectly())?.heldStep, null);
  t.equal(await link.order(fence, { kind: HoldOrderKind.Hold, rank: 0, epoch: 1, step: 4 }), true);
  t.equal((await link.inspectDirectly())?.heldStep, 4);
});
