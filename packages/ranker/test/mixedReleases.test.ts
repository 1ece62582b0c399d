import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { createLogger } from "@clementinemux/logging/createLogger";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { Ranker } from "@clementinemux/ranker/Ranker";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { silentClient } from "./silentClient";

const order = { kind: HoldOrderKind.Go as const, rank: 0, epoch: 1, step: 4 };

// Guards against a ranker that loses the highest term during an upgrade: coordinators of the previous release
// send the term of an inspection as `fence`.
t.test("an inspection from the previous release keeps the check for deposed leaders", async (t) => {
  const rank = {
    ...silentClient,
    order: () => Promise.resolve(true),
  };
  const [framePort = 0] = await findFreePorts(1);
  const host = "127.0.0.1";
  const clock = new SystemClock();
  const logger = createLogger("test", {});
  const ranker = new Ranker({ host, framePort, metricsPort: null, rank, clock, logger });
  await ranker.start();
  const client = new RpcClient({ address: { host, port: framePort }, tls: undefined });
  t.teardown(async () => {
    client.close();
    await ranker.close();
  });
  const sendOrder = (term: number) =>
    client.call(MessageName.OrderRank, { fence: FencingTokens.ofTerm(term).floor, order }, 1000);
  t.equal((await sendOrder(6)).extract(), true);
  const inspectionOfPreviousRelease = { fence: 5, part: InspectionPart.None, countsHeld: null };
  await client.call(MessageName.InspectRank, inspectionOfPreviousRelease, 1000);
  t.equal((await sendOrder(5)).isLeft(), true);
  const orderOfPreviousRelease = { fence: 7, order };
  t.equal(
    (await client.call(MessageName.OrderRank, orderOfPreviousRelease, 1000)).extract(),
    true,
    "of term 7",
  );
  t.equal((await sendOrder(6)).isLeft(), true);
});
