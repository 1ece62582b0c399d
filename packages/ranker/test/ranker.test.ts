import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { getExpertsDigest } from "@clementinemux/experts/hold/getExpertsDigest";
import { createLogger } from "@clementinemux/logging/createLogger";
import { PreparedDigestCache } from "@clementinemux/ranker/PreparedDigestCache";
import { Ranker } from "@clementinemux/ranker/Ranker";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { silentClient } from "./silentClient";

const idleState = { isOpen: true, step: 3, mapVersion: 0, armed: null, heldStep: null };
const order = { kind: HoldOrderKind.Go as const, rank: 0, epoch: 1, step: 4 };

// Guards against orders of a leader that was replaced while it was stalled, and against outcomes that are not
// counted.
t.test("orders of a deposed leader are refused, the others are counted", async (t) => {
  const answers = [true, false, null];
  const fences: number[] = [];
  const rank = {
    ...silentClient,
    order: (_: unknown, fence: number) => {
      fences.push(fence);
      return Promise.resolve(answers.shift() ?? null);
    },
  };
  const [framePort = 0, metricsPort = 0] = await findFreePorts(2);
  const clock = new SystemClock();
  const logger = createLogger("test", {});
  const ranker = new Ranker({
    host: "127.0.0.1",
    framePort,
    metricsPort,
    rank,
    clock,
    logger,
  });
  await ranker.start();
  const client = new RpcClient({ address: { host: "127.0.0.1", port: framePort }, tls: undefined });
  t.teardown(async () => {
    client.close();
    await ranker.close();
  });
  const sendOrder = (term: number) => {
    const fence = FencingTokens.ofTerm(term).floor;
    return client.call(MessageName.OrderRank, { fence, order }, 1000);
  };
  t.equal((await sendOrder(5)).extract(), true);
  t.equal((await sendOrder(6)).extract(), false);
  t.equal((await sendOrder(5)).isLeft(), true);
  t.equal((await sendOrder(6)).extract(), null);
  t.same(
    fences.map((fence) => FencingTokens.getTerm(fence)),
    [5, 6, 6],
  );
  const text = await (await fetch(`http://127.0.0.1:${metricsPort}/metrics`)).text();
  for (const outcome of ["confirmed", "refused", "no_answer"]) {
    t.match(text, `clementinemux_ranker_orders{outcome="${outcome}"} 1\n`);
  }
  t.match(text, "clementinemux_ranker_term 6\n");
});

// Guards against a leader that doesn't know which experts a rank has prepared, and against reading the lists
// at each inspection.
t.test("the lists of prepared experts are read once for each map", async (t) => {
  let state = { rank: 0, epoch: 1, preparedVersion: null as number | null };
  let lists = { version: 4, experts: [[1, 2]] };
  let reads = 0;
  const rank = {
    inspect: () => Promise.reject(new Error("not called in this test")),
    inspectState: () => Promise.resolve(null),
    readPreparedExperts: () => {
      reads += 1;
      return Promise.resolve(lists);
    },
    readActiveExperts: () => Promise.resolve(null),
    readMembership: () => Promise.resolve(null),
    order: () => Promise.resolve(null),
  };
  const prepared = new PreparedDigestCache(rank);
  const read = () => prepared.read({ ...idleState, ...state });
  t.equal(await read(), null);
  t.equal(reads, 0);
  state = { ...state, preparedVersion: 4 };
  t.equal(await read(), getExpertsDigest([[1, 2]]));
  t.equal(await read(), getExpertsDigest([[1, 2]]));
  t.equal(reads, 1);
  state = { ...state, epoch: 2 };
  lists = { version: 4, experts: [[3]] };
  t.equal(await read(), getExpertsDigest([[3]]), "a recovered group may prepare other experts");
  state = { ...state, preparedVersion: 5 };
  t.equal(await read(), null, "the lists are older than the report");
  lists = { version: 5, experts: [[7]] };
  t.equal(await read(), getExpertsDigest([[7]]));
});
