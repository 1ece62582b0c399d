import { setTimeout as delay } from "node:timers/promises";
import type { CaseContext } from "../lib-2/runCase";
import { SmallDeployment } from "../lib-2/SmallDeployment";
import { StandInRunner } from "../lib-2/StandInRunner";
import { createLookupConfig } from "../lib-2/createLookupConfig";
import { runCase } from "../lib-2/runCase";

const lostZone = "zone-3";
const zoneOfCoordinator = ["zone-1", "zone-2", lostZone];
/** From the sheet of the site. */
const contactMs = 4000;
const ackMs = 5000;
/** Time from the start until all processes know each other. */
const startMs = 4000;
const downMs = 500;
/** Beyond `contactMs` after the last kill, so that the core is stable and the coordinators know all runners that run. */
const settleMs = contactMs + 4000;
const retryMs = 200;
/** Statuses that end a call of the operator at once. */
const finalStatuses: readonly number[] = [400, 409, 412, 413, 422];

/** Sends the order as the operator does. Resolves with whether it was acknowledged within the bound. */
async function evacuate({ record }: CaseContext, deployment: SmallDeployment): Promise<boolean> {
  const endMs = record.nowMs + ackMs;
  for (let at = 0; record.nowMs < endMs; at += 1) {
    const status = await deployment.callAt(at, "POST", `/evacuation/${lostZone}`);
    record.add(`evacuation of ${lostZone} sent to coordinator ${(at % 3) + 1}: ${status ?? "no answer"}`);
    if (status !== null && (status === 200 || finalStatuses.includes(status))) {
      return status === 200;
    }
    await delay(retryMs);
  }
  return false;
}

async function play(context: CaseContext): Promise<boolean> {
  const { record, hasTrouble, onEnd } = context;
  const deployment = await SmallDeployment.start(context);
  await deployment.call("PUT", "/config", createLookupConfig(1));
  const runners = zoneOfCoordinator.map(
    (zone, at) =>
      new StandInRunner({ id: `i-${at + 1}`, service: "patio", host: `127.0.0.${at + 9}`, zone, record }),
  );
  for (const runner of runners) {
    onEnd(() => {
      runner.close();
    });
    await runner.start((path, body) => deployment.call("PUT", path, body));
  }
  await delay(startMs);
  if (hasTrouble) {
    const [first, second, third] = deployment.coordinators;
    runners[2]?.close();
    await third?.end();
    record.add(`${lostZone} is down: its coordinator and its runner are killed`);
    await delay(contactMs);
    await Promise.all([first?.end(), second?.end()]);
    record.add("the coordinators of the other zones are killed at the same moment");
    await delay(downMs);
    first?.start();
    second?.start();
    record.add("they are started again");
  }
  await delay(settleMs);
  // The coordinators lead and acknowledge orders.
  await deployment.call("PUT", "/config", createLookupConfig(2));
  record.add("version 2 acknowledged");
  return evacuate(context, deployment);
}

await runCase(9, play);
