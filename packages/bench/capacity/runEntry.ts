import { setTimeout as delay } from "node:timers/promises";
import { DaemonProcess } from "./DaemonProcess";
import { FleetStub } from "./FleetStub";
import { findFreePorts } from "@clementinemux/system/findFreePorts";

interface EntryRun {
  readonly programs: string;
  readonly targetCount: number;
  readonly entryCount: number;
  /** Groups per model in the entry's subset; all groups when absent. */
  readonly subsetGroups?: number | undefined;
}

const settleMs = 3500;

/** Runs an entry process with a stand-in for the rest of the fleet. */
export async function runEntry(
  { programs, targetCount, entryCount, subsetGroups }: EntryRun,
  run: (entry: DaemonProcess, fleet: FleetStub, port: number) => Promise<void>,
): Promise<void> {
  const fleet = new FleetStub(subsetGroups);
  await fleet.start();
  // Without a subset, all targets serve the model of the requests.
  fleet.announce(targetCount, entryCount, subsetGroups === undefined ? ["model-0"] : undefined);
  const port = (await findFreePorts(1))[0] ?? 0;
  const location = { failureDomain: "fd-1", region: "region-1", relays: [`127.0.0.1:${fleet.relayPort}`] };
  const settings = { ...location, name: "entry-1", port, anonymousTeam: "bench" };
  const entry = new DaemonProcess(programs, "bench-entry-process", "entry-1", settings, ["--expose-gc"]);
  try {
    await delay(settleMs);
    await run(entry, fleet, port);
  } finally {
    await entry.stop();
    await fleet.stop();
  }
}
