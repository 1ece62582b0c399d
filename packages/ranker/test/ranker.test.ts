import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Ranker } from "@clementinemux/ranker/Ranker";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";

const order = { kind: HoldOrderKind.Go as const, rank: 0, epoch: 1, step: 4 };

// Guards against orders of a lead that was replaced while it stood still, and against outcomes that are not counted.
t.test("orders of a deposed lead are refused, the others are counted", async (t) => {
  const answers = [true, false, null];
  const fences: number[] = [];
  const rank = {
    inspect: () => Promise.resolve(null),
    inspectState: () => Promise.resolve(null),
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
  const give = (fence: number) => client.call(MessageName.OrderRank, { fence, order }, 1000);
  t.equal((await give(5)).extract(), true);
  t.equal((await give(6)).extract(), false);
  t.equal((await give(5)).isLeft(), true);
  t.equal((await give(6)).extract(), null);
  t.same(fences, [5, 6, 6]);
  const text = await (await fetch(`http://127.0.0.1:${metricsPort}/metrics`)).text();
  for (const outcome of ["confirmed", "refused", "no_answer"]) {
    t.match(text, `clementinemux_ranker_orders{outcome="${outcome}"} 1\n`);
  }
  t.match(text, "clementinemux_ranker_fence 6\n");
});
