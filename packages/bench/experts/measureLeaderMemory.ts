import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { GroupFleet } from "./GroupFleet";

interface LeaderMemory {
  readonly agentFlags: readonly string[];
  readonly rankCount: number;
  readonly expertCount: number;
  readonly layerCount: number;
  /** Peak resident memory of the leader's agent since its start. */
  readonly leadPeakBytes: number;
  readonly leadResidentBytes: number;
  /** Highest peak of the agents that are not the leader; `otherResidentBytes` is their mean at the end. */
  readonly otherPeakBytes: number;
  readonly otherResidentBytes: number;
  /** Map version active at the end; above 0 when the leader has activated a map. */
  readonly mapVersion: number;
  readonly mixedSteps: number;
}

const rankCount = 32;
const shape = { layerCount: 4, expertCount: 256, slotsPerRank: 10, expertBytes: 10_000 };
const rankGroup = {
  planIntervalMs: 10_000,
  reportIntervalMs: 5000,
  statusIntervalMs: 2000,
  armMarginSteps: 300,
};
const runMs = 30_000;
const bytesPerKib = 1024;

/**
 * Measures the memory of a leader's agent over several plans, compared with the other agents of the group.
 * Plans and reports are more frequent than by default.
 */
export async function measureLeaderMemory(
  programs: string,
  agentFlags: readonly string[],
): Promise<LeaderMemory> {
  const fleet = await GroupFleet.start({ programs, replicas: 1, rankCount, shape, rankGroup, agentFlags });
  try {
    await fleet.waitFor("an active map", async () => ((await fleet.getCounts()).mapVersion ?? 0) || null);
    await delay(runMs);
    const { agent: leader } = await fleet.waitForLeader();
    const { mapVersion, mixedSteps } = await fleet.getCounts();
    const others = fleet.agents.filter(({ name }) => name !== leader.name);
    const otherBytes = others.map(({ child }) => readStatus(child.pid, "VmRSS"));
    return {
      agentFlags,
      ...{ rankCount, expertCount: shape.expertCount, layerCount: shape.layerCount },
      leadPeakBytes: readStatus(leader.child.pid, "VmHWM"),
      leadResidentBytes: readStatus(leader.child.pid, "VmRSS"),
      otherPeakBytes: Math.max(...others.map(({ child }) => readStatus(child.pid, "VmHWM"))),
      otherResidentBytes: otherBytes.reduce((sum, bytes) => sum + bytes, 0) / otherBytes.length,
      mapVersion: mapVersion ?? 0,
      mixedSteps,
    };
  } finally {
    await fleet.stop();
  }
}

function readStatus(pid: number | undefined, field: string): number {
  const match = new RegExp(`^${field}:\\s+(\\d+) kB$`, "m").exec(
    readFileSync(`/proc/${pid ?? "self"}/status`, "utf8"),
  );
  return Number(match?.[1] ?? 0) * bytesPerKib;
}
