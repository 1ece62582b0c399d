import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import type { ControlClient } from "@clementinemux/control/ControlClient";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import { ClaimState } from "@clementinemux/messages/ClaimState";
import type { InForceResponse } from "@clementinemux/messages/InForceResponse";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import { MessageName } from "@clementinemux/wire/MessageName";
import { ControlFleet } from "./ControlFleet";
import { LeaseholderClient } from "./LeaseholderClient";
import { getPercentile } from "./getPercentile";

type Measurements = Readonly<Record<string, number>>;

const replicas = 5;
const commits = 300;
const claimConcurrency = 64;
const claimRunMs = 3000;
const catchUpChanges = 1000;
const failovers = 3;
const inForceChanges = 12;
const deadlineMs = 15_000;

/** Accepted changes by revision. None of them may be lost by the end of the run. */
type Accepted = Map<number, string>;

/**
 * Measures commit latency, failover, time until a change is active, claims and catch-up, with local
 * processes.
 */
export async function runControlBench(programs: string): Promise<Measurements> {
  const direct = await runOnFleet(programs, 0, async (fleet) => ({
    ...(await measureChanges(fleet)),
    ...(await measureClaims(fleet, "")),
  }));
  const near = await runOnFleet(programs, 1, (fleet) => measureClaims(fleet, "1ms"));
  const far = await runOnFleet(programs, 1.5, (fleet) => measureClaims(fleet, "1_5ms"));
  const byGroupCount = {
    ...(await measureGroupClaims(programs, 1)),
    ...(await measureGroupClaims(programs, 4)),
  };
  const sum = (name: string): number =>
    [direct, near, far].reduce((total, run) => total + (run[name] ?? 0), 0);
  return { ...direct, ...near, ...far, ...byGroupCount, ranTwice: sum("ranTwice") };
}

async function runOnFleet(
  programs: string,
  delayMs: number,
  measure: (fleet: ControlFleet) => Promise<Measurements>,
): Promise<Measurements> {
  const fleet = await ControlFleet.start({ replicas, delayMs }, programs);
  try {
    return await measure(fleet);
  } finally {
    await fleet.stop();
  }
}

async function measureChanges(fleet: ControlFleet): Promise<Measurements> {
  const client = fleet.createClient();
  const accepted: Accepted = new Map();
  const holders = fleet.addresses.map((address, index) => new LeaseholderClient(`entry-${index}`, address));
  const commitMs: number[] = [];
  for (let index = 0; index < commits; index += 1) {
    commitMs.push(await propose(client, accepted));
  }
  const inForceMs: number[] = [];
  for (let index = 0; index < inForceChanges; index += 1) {
    inForceMs.push(await measureInForce(client, accepted, holders));
  }
  const failoverMs: number[] = [];
  for (let index = 0; index < failovers; index += 1) {
    const leader = await fleet.waitForLeader("config");
    await fleet.kill(leader);
    failoverMs.push(await propose(client, accepted));
    fleet.spawn(leader);
    await fleet.waitFor("the restarted replica", () => fleet.getStatus(leader));
    await delay(1000);
  }
  const catchUpMs = await measureCatchUp(fleet, client, accepted);
  const lost = await countLost(fleet, accepted);
  holders.forEach((holder) => {
    holder.close();
  });
  client.close();
  return {
    commitP50Ms: getPercentile(commitMs, 0.5),
    commitP99Ms: getPercentile(commitMs, 0.99),
    failoverMs: getPercentile(failoverMs, 1),
    inForceP99Ms: getPercentile(inForceMs, 0.99),
    catchUpMs,
    accepted: accepted.size,
    ...lost,
  };
}

/** Proposes one change and returns the time until it was accepted. */
async function propose(client: ControlClient, accepted: Accepted): Promise<number> {
  const startMs = performance.now();
  const baseRevision = Math.max(0, ...accepted.keys());
  const target = `bench-${baseRevision % 50}`;
  const drain = { reason: `change ${baseRevision}`, author: "ann", sinceMs: baseRevision };
  const change = { kind: ConfigChangeKind.DrainTarget as const, target, drain };
  const request = { author: "ann", requestId: `bench-${baseRevision}`, baseRevision, change };
  const response = (await client.propose(request, deadlineMs)).unsafeCoerce();
  if (response.outcome !== ProposeOutcome.Accepted) {
    throw new Error(`change was rejected: ${response.outcome} ${response.message}`);
  }
  accepted.set(response.revision, JSON.stringify(change));
  return performance.now() - startMs;
}

/**
 * Returns the time until the leader reports a change as active. Every serving leaseholder must have applied
 * it then.
 */
async function measureInForce(
  client: ControlClient,
  accepted: Accepted,
  holders: readonly LeaseholderClient[],
): Promise<number> {
  const startMs = performance.now();
  await propose(client, accepted);
  const revision = Math.max(...accepted.keys());
  for (;;) {
    const reply = await client.call<InForceResponse>("config", MessageName.InForce, { revision }, deadlineMs);
    if (reply.unsafeCoerce().inForce) {
      break;
    }
    await delay(10);
  }
  const elapsedMs = performance.now() - startMs;
  if (holders.some(({ isServing, view }) => isServing && view.config.revision < revision)) {
    throw new Error(`revision ${revision} was reported as active before a serving leaseholder applied it`);
  }
  return elapsedMs;
}

async function measureCatchUp(
  fleet: ControlFleet,
  client: ControlClient,
  accepted: Accepted,
): Promise<number> {
  const leader = await fleet.waitForLeader("config");
  const stopped = (leader + 1) % replicas;
  await fleet.kill(stopped);
  for (let index = 0; index < catchUpChanges; index += 1) {
    await propose(client, accepted);
  }
  const targetIndex =
    (await fleet.getStatus(leader))?.find(({ name }) => name === "config")?.commitIndex ?? Infinity;
  const startMs = performance.now();
  fleet.spawn(stopped);
  await fleet.waitFor("caught-up replica", async () => {
    const status = await fleet.getStatus(stopped);
    const applied = status?.find(({ name }) => name === "config")?.appliedIndex ?? 0;
    return applied >= targetIndex ? true : null;
  });
  return Math.round(performance.now() - startMs);
}

/** Counts acknowledged changes that are missing from the configuration or differ in the history. */
async function countLost(fleet: ControlFleet, accepted: Accepted): Promise<Measurements> {
  const newest = Math.max(...accepted.keys());
  const client = fleet.createClient();
  const history = new Map<number, string>();
  // One page of history has 200 changes, so only the newest 200 are compared.
  const reply = await client.call<{ revision: number; change: unknown }[]>(
    "config",
    MessageName.FetchHistory,
    { after: newest - 200 },
    deadlineMs,
  );
  for (const { revision, change } of reply.unsafeCoerce()) {
    history.set(revision, JSON.stringify(change));
  }
  client.close();
  const last = new Map(
    [...accepted].map(([revision, change]) => [(JSON.parse(change) as { target: string }).target, revision]),
  );
  let lostAcknowledged = 0;
  for (const index of fleet.replicas.keys()) {
    const config = await fleet.waitFor("current configuration", async () => {
      const { body } = await fleet.callApi(index, "GET", "/v1/config", null);
      const current = (body as { config: FleetConfig }).config;
      return current.revision >= newest ? current : null;
    });
    for (const [target, revision] of last) {
      lostAcknowledged += config.drains[target]?.sinceMs === revision - 1 ? 0 : 1;
    }
  }
  const recent = [...accepted].filter(([revision]) => revision > newest - 200);
  const reverted = recent.filter(([revision, change]) => history.get(revision) !== change).length;
  return { lostAcknowledged, reverted };
}

/** Returns the granted claims per second under concurrent claims. */
async function measureRate(claimOnce: () => Promise<unknown>, getGranted: () => number): Promise<number> {
  const startMs = performance.now();
  const startGranted = getGranted();
  await Promise.all(
    Array.from({ length: claimConcurrency }, async () => {
      while (performance.now() - startMs < claimRunMs) {
        await claimOnce();
      }
    }),
  );
  return Math.round(((getGranted() - startGranted) * 1000) / (performance.now() - startMs));
}

/** Measures claims on several groups of one process, each of which syncs its own log. */
async function measureGroupClaims(programs: string, claimGroups: number): Promise<Measurements> {
  const fleet = await ControlFleet.start({ replicas: 1, claimGroups }, programs);
  const client = fleet.createClient();
  let granted = 0;
  try {
    const claimOnce = async (): Promise<void> => {
      const reply = await client.claim(createClaim(`key-${granted}-${Math.random()}`, "entry-1"), deadlineMs);
      granted += reply.unsafeCoerce().state === ClaimState.Granted ? 1 : 0;
    };
    return { [`claimsPerS_${claimGroups}groups`]: await measureRate(claimOnce, () => granted) };
  } finally {
    client.close();
    await fleet.stop();
  }
}

function createClaim(key: string, entry: string): ClaimRequest {
  return {
    team: "bench",
    key,
    bodyDigest: "d",
    claimant: { entry, incarnation: "1" },
    requestId: `${entry}-${key}`,
    createdAtMs: null,
  };
}

async function measureClaims(fleet: ControlFleet, suffix: string): Promise<Measurements> {
  const client = fleet.createClient();
  let next = 0;
  let granted = 0;
  let ranTwice = 0;
  const claimOnce = async (): Promise<number> => {
    const key = `key-${next}`;
    next += 1;
    const startMs = performance.now();
    const reply = (await client.claim(createClaim(key, "entry-1"), deadlineMs)).unsafeCoerce();
    granted += reply.state === ClaimState.Granted ? 1 : 0;
    return performance.now() - startMs;
  };
  const sequentialMs: number[] = [];
  for (let index = 0; index < 300; index += 1) {
    sequentialMs.push(await claimOnce());
  }
  const claimsPerS = await measureRate(claimOnce, () => granted);
  // After a failover, a second entry claims keys that the first one holds; none may be granted again.
  await fleet.kill(await fleet.waitForLeader("claims-0"));
  for (let index = 0; index < 200; index += 1) {
    const reply = await client.claim(createClaim(`key-${index}`, "entry-2"), deadlineMs);
    ranTwice += reply.unsafeCoerce().state === ClaimState.Granted ? 1 : 0;
  }
  client.close();
  return suffix === ""
    ? { claimsPerS, ranTwice }
    : {
        [`claimAddedP99Ms_${suffix}`]: getPercentile(sequentialMs, 0.99),
        [`claimsPerS_${suffix}`]: claimsPerS,
        ranTwice,
      };
}
