import { setTimeout as delay } from "node:timers/promises";
import { encode } from "cbor-x";
import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import type { OrderRequest } from "@clementinemux/ranker/OrderRequest";
import { RankLink } from "@clementinemux/ranker/RankLink";
import { Ranker } from "@clementinemux/ranker/Ranker";
import { packHosting } from "@clementinemux/ranker/packHosting";
import { unpackHosting } from "@clementinemux/ranker/unpackHosting";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { silentClient } from "./silentClient";

interface Tap {
  teardown(action: () => void): void;
}

const host = "127.0.0.1";
const hosting = createRoundRobinHosting(10, 384, 192);
const prepare: HoldOrder = { kind: HoldOrderKind.Prepare, rank: 1, epoch: 4, version: 16, hosting };
/** Longer than the first pass of an order that pauses the group may take. */
const slowMs = 200;

function createLink(t: Tap, port: number) {
  const direct: HoldOrder[] = [];
  const links = new PeerLinks(undefined);
  t.teardown(() => {
    links.close();
  });
  const link = new RankLink({
    links,
    endpoints: { address: "127.0.0.1:9", rankerAddress: `${host}:${port}` },
    direct: {
      ...silentClient,
      order: (order) => {
        direct.push(order);
        return Promise.resolve(true);
      },
    },
    orders: new Counters("orders", "outcome", Object.values(OrderOutcome)),
    refusedOrders: new Counters("refused", "kind", Object.values(HoldOrderKind)),
    clock: new SystemClock(),
    logger: createLogger("test", {}),
  });
  return { link, direct };
}

async function startServer(t: Tap, handlers: Record<string, MessageHandler>): Promise<number> {
  const server = new RpcServer({ handlers });
  t.teardown(() => void server.close());
  return server.listen(host, 0);
}

// Guards against a map that is encoded again for each of 200 ranks, and against one that takes up the leader's link.
t.test("a placement is packed once, into less than its plain form", (t) => {
  const bytes = packHosting(hosting);
  t.equal(packHosting(hosting), bytes);
  t.ok(bytes.length < encode(hosting).length * 0.75);
  t.same(unpackHosting(bytes), hosting);
  t.throws(() => unpackHosting(bytes.subarray(0, 100)));
  t.end();
});

// Guards against maps that are sent twice, since the first copy takes longer than an order that pauses the group may.
t.test("an order to prepare waits for a slow ranker and is given once", async (t) => {
  const [framePort = 0] = await findFreePorts(1);
  const given: HoldOrder[] = [];
  const rank = {
    ...silentClient,
    order: async (order: HoldOrder) => {
      given.push(order);
      await delay(slowMs);
      return true;
    },
  };
  const clock = new SystemClock();
  const logger = createLogger("test", {});
  const ranker = new Ranker({ host, framePort, metricsPort: null, rank, clock, logger });
  await ranker.start();
  t.teardown(() => void ranker.close());
  const { link, direct } = createLink(t, framePort);
  t.equal(await link.order(new RankFencingToken(FencingTokens.ofTerm(3)), prepare), true);
  t.same(given, [prepare]);
  t.same(direct, []);
});

// Guards against maps that rankers of the previous release cannot read during an upgrade.
t.test("a ranker of the previous release gets the plain map", async (t) => {
  const received: OrderRequest[] = [];
  const port = await startServer(t, {
    [MessageName.OrderRank]: (body) => {
      received.push(body as OrderRequest);
      return true;
    },
  });
  const { link, direct } = createLink(t, port);
  t.equal(await link.order(new RankFencingToken(FencingTokens.ofTerm(3)), prepare), true);
  t.same(
    received.map(({ order }) => order),
    [prepare],
  );
  t.same(direct, []);
});
