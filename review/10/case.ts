import { setTimeout as delay } from "node:timers/promises";
import type { CaseContext } from "../lib-2/runCase";
import { SmallDeployment } from "../lib-2/SmallDeployment";
import { StandInRunner } from "../lib-2/StandInRunner";
import { createLargeConfig, fewKeys, manyKeys } from "../lib-2/createLargeConfig";
import { createLookupConfig } from "../lib-2/createLookupConfig";
import { runCase } from "../lib-2/runCase";

/** The bound of the sheets of the first sites, and what the rule adds for each route. */
const ackMs = 4000;
const ackMsPerRoute = 3;
/** How long the operator goes on sending the large configuration; it sends it again while there is no clear answer. */
const largeMs = 10_000;
const settleMs = 3000;
/** How long an order is sent again after its bound, to see whether it is ever acknowledged. */
const patienceMs = 20_000;

async function play(context: CaseContext): Promise<boolean> {
  const { record, hasTrouble, onEnd } = context;
  const deployment = await SmallDeployment.start(context);
  /** Sends an order until it is acknowledged. Resolves with the time that took; null if it was not acknowledged. */
  const order = async (
    name: string,
    path: string,
    body: object,
    withinMs: number,
  ): Promise<number | null> => {
    const sentAtMs = record.nowMs;
    record.add(`${name} sent, ${JSON.stringify(body).length} bytes`);
    try {
      await deployment.call("PUT", path, body, withinMs);
    } catch (error) {
      record.add(`${name}: ${String(error)}`);
      return null;
    }
    record.add(`${name} acknowledged after ${(record.nowMs - sentAtMs).toFixed(0)} ms`);
    return record.nowMs - sentAtMs;
  };
  if ((await order("version 1", "/config", createLookupConfig(1), patienceMs)) === null) {
    throw new Error("the deployment has not started");
  }
  const runner = new StandInRunner({ id: "i-1", service: "patio", host: "127.0.0.9", record });
  onEnd(() => {
    runner.close();
  });
  await runner.start((path, body) => deployment.call("PUT", path, body));
  await delay(settleMs);
  await order("version 2", "/config", createLargeConfig(2, hasTrouble ? manyKeys : fewKeys), largeMs);
  await delay(settleMs);
  const [configMs, drainMs] = await Promise.all([
    order("version 3", "/config", createLookupConfig(3), patienceMs),
    order("the drain of i-1", "/instances/i-1", runner.createHeartbeat("draining"), patienceMs),
  ]);
  const boundMs = ackMs + ackMsPerRoute;
  const late = [configMs, drainMs].filter((ms) => ms === null || ms > boundMs);
  record.add(`${late.length} of 2 orders without an acknowledgement after ${boundMs} ms`);
  return late.length === 0;
}

await runCase(10, play);
