import { setTimeout as delay } from "node:timers/promises";
import type { CaseContext } from "../lib-2/runCase";
import { SmallDeployment } from "../lib-2/SmallDeployment";
import { StandInRunner } from "../lib-2/StandInRunner";
import { createLargeConfig, fewKeys, manyKeys } from "../lib-2/createLargeConfig";
import { createLookupConfig } from "../lib-2/createLookupConfig";
import { runCase } from "../lib-2/runCase";
import { sendLookup } from "../lib-2/sendLookup";

const startMs = 3000;
/** Time for which the operator sends the change before the final fault. */
const changeMs = 4000;
const downMs = 500;
/** From the sheet of the site. */
const recoveryMs = 12_000;
const requests = 100;
const pauseMs = 50;
/** The rule: less than a quarter is served, though a quarter or more was before. */
const servedShare = 0.25;

/** Sends lookups to all gateways in turn. Resolves with the share that was served. */
async function measureServed(
  { record }: CaseContext,
  { gatewayAddresses }: SmallDeployment,
  name: string,
): Promise<number> {
  const send = async (at: number): Promise<boolean> => {
    await delay(at * pauseMs);
    const address = gatewayAddresses[at % gatewayAddresses.length] ?? "";
    const status = await sendLookup(address, `${name}-${at}`);
    record.add(`${name}-${at} to ${address}: ${status ?? "no answer"}`);
    return status === 200;
  };
  const all = await Promise.all(Array.from({ length: requests }, (_, at) => send(at)));
  return all.filter(Boolean).length / requests;
}

async function play(context: CaseContext): Promise<boolean> {
  const { record, hasTrouble, onEnd } = context;
  const deployment = await SmallDeployment.start(context);
  await deployment.call("PUT", "/config", createLookupConfig(1));
  record.add("version 1 acknowledged");
  const runner = new StandInRunner({ id: "i-1", service: "patio", host: "127.0.0.9", record });
  onEnd(() => {
    runner.close();
  });
  await runner.start((path, body) => deployment.call("PUT", path, body));
  await delay(startMs);
  const before = await measureServed(context, deployment, "before");
  const change = createLargeConfig(2, hasTrouble ? manyKeys : fewKeys);
  record.add(`version 2 sent, ${JSON.stringify(change).length} bytes`);
  try {
    await deployment.call("PUT", "/config", change, changeMs);
    record.add("version 2 acknowledged");
  } catch (error) {
    record.add(`version 2: ${String(error)}`);
  }
  const processes = [...deployment.coordinators, ...deployment.gateways];
  await Promise.all(processes.map((process) => process.end()));
  record.add("final fault: all processes are killed");
  await delay(downMs);
  for (const process of processes) {
    process.start();
  }
  record.add("all processes are started again");
  await delay(recoveryMs);
  const after = await measureServed(context, deployment, "after");
  const read = await deployment.callAt(0, "GET", "/config");
  record.add(`read of the configuration: ${read ?? "no answer"}`);
  record.add(`served before: ${before}, ${recoveryMs} ms after the start: ${after}`);
  if (before < servedShare) {
    throw new Error("less than a quarter was served before the fault");
  }
  return after >= servedShare;
}

await runCase(7, play);
