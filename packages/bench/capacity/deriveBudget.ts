import type { BudgetRow } from "./BudgetRow";
import type { Slope } from "./Slope";
import { designScale as scale } from "./designScale";

type Basis = BudgetRow["basis"];

const relayTicksPerS = 4;
const configVoters = 5;
const claimVoters = 15;

/**
 * Computes the values at design scale from the measured slopes. Rows whose slopes are missing are omitted.
 */
export function deriveBudget(slopes: readonly Slope[]): BudgetRow[] {
  const rows: BudgetRow[] = [];
  const find = (name: string): Slope => {
    const slope = slopes.find((candidate) => candidate.name === name);
    if (slope === undefined) {
      throw new RangeError(`slope ${name} was not measured`);
    }
    return slope;
  };
  const perUnit = (name: string): number => find(name).slope;
  const lineAt = (name: string, x: number): number => find(name).intercept + find(name).slope * x;
  /** Value at the measured point nearest to x. */
  const pointAt = (name: string, x: number): number =>
    find(name).points.reduce((best, point) => (Math.abs(point.x - x) < Math.abs(best.x - x) ? point : best))
      .y;
  const add = (
    role: string,
    figure: string,
    basis: Basis,
    limit: number | null,
    compute: () => number,
  ): void => {
    try {
      const value = compute();
      rows.push({ role, figure, value, limit, within: limit === null ? null : value <= limit, basis });
    } catch (error) {
      if (!(error instanceof RangeError)) {
        throw error;
      }
    }
  };
  const addEntry = add.bind(null, "entry");
  addEntry("cores at rest, 672 polled targets and 350 entries", "measured", scale.nodeCores, () =>
    pointAt("entry.restCoreBy_fleetTarget", scale.targetCount),
  );
  addEntry("B/s at rest, 672 polled targets and 350 entries", "measured", scale.nodeBytesPerS, () =>
    pointAt("entry.restBytesBy_fleetTarget", scale.targetCount),
  );
  addEntry("resident B at rest, 672 polled targets and 350 entries", "measured", scale.nodeBytes, () =>
    pointAt("entry.restResidentBy_fleetTarget", scale.targetCount),
  );
  addEntry("heap B of 4,100 teams in the policy", "derived", scale.nodeBytes, () =>
    lineAt("policy.teamBytes", scale.teamCount),
  );
  addEntry(
    "cores for 10,286 tokens/s (requests, not control)",
    "derived",
    null,
    () => perUnit("entry.tokenCore") * scale.tokensPerSAndEntry,
  );
  addEntry(
    "cores for 24.6 requests/s (requests, not control)",
    "derived",
    null,
    () => perUnit("entry.requestCore") * scale.requestsPerSAndEntry,
  );
  addEntry(
    "cores for 24.6 decisions/s among 96 candidates (requests, not control)",
    "derived",
    null,
    () => (lineAt("policy.decisionCpuMs", scale.candidateCount) * scale.requestsPerSAndEntry) / 1000,
  );
  const addAgent = add.bind(null, "agent");
  addAgent("cores at rest, no polls", "measured", scale.nodeCores, () => pointAt("agent.pollCore", 0));
  addAgent("cores with 39.2 polls/s", "derived", scale.nodeCores, () =>
    lineAt("agent.pollCore", scale.pollsPerSAndTarget),
  );
  addAgent("cores with 300 evenly spread events/s, no polls", "measured", scale.nodeCores, () =>
    pointAt("agent.evenEventCore", scale.tokensPerSAndTarget),
  );
  addAgent("cores with 300 events/s in step, no polls", "measured", scale.nodeCores, () =>
    pointAt("agent.alignedEventCore", scale.tokensPerSAndTarget),
  );
  addAgent("B/s with 39.2 polls/s", "derived", scale.nodeBytesPerS, () =>
    lineAt("agent.pollBytes", scale.pollsPerSAndTarget),
  );
  addAgent(
    "B/s of heartbeats and renewals",
    "derived",
    scale.nodeBytesPerS,
    () => pointAt("agent.heartbeatBytesPerS", 6400) + perUnit("agent.renewalBytes"),
  );
  addAgent("resident B with 300 events/s", "measured", scale.nodeBytes, () =>
    pointAt("agent.residentBytes", scale.tokensPerSAndTarget),
  );
  const addRelay = add.bind(null, "relay (set aside)");
  addRelay("cores", "derived", 1, () => {
    const socketMs = perUnit("rpc.callCpuMs") / 2;
    const calls =
      scale.heartbeatsPerSAndRelay * (perUnit("relay.heartbeatCpuMs") + socketMs) +
      scale.renewalsPerSAndRelay * (perUnit("relay.renewalCpuMs") + socketMs);
    const ticks =
      relayTicksPerS *
      (lineAt("relay.tickCpuMs", scale.heartbeatsPerSAndRelay) +
        lineAt("relay.lowestRevisionCpuMs", scale.renewalsPerSAndRelay));
    return (calls + ticks) / 1000;
  });
  addRelay(
    "heap B of 12,000 records and 800 watched targets",
    "derived",
    null,
    () =>
      lineAt("relay.directoryBytes", scale.targetCount) +
      scale.heartbeatsPerSAndRelay * perUnit("relay.watchedTargetBytes"),
  );
  addRelay(
    "B/s of membership and renewals",
    "derived",
    null,
    () =>
      lineAt("relay.membershipBytesPerS", scale.targetCount) +
      scale.renewalsPerSAndRelay * perUnit("agent.renewalBytes"),
  );
  addRelay("ms blocked by a fetch that reassigns subsets", "measured", scale.stallMs, () =>
    pointAt("relay.reassignCpuMs", scale.targetCount),
  );
  const addVoter = add.bind(null, "config voter (set aside)");
  addVoter("cores for 1 change/s with 3,600 exceptions", "derived", 1, () => {
    const eachMs = perUnit("voter.changeCpuMs") / configVoters + pointAt("voter.applyCpuMs", 3600);
    return (eachMs * scale.changesPerS) / 1000;
  });
  addVoter(
    "B/s between all voters, changes and heartbeats",
    "derived",
    null,
    () => perUnit("voter.changeBytes") * scale.changesPerS + perUnit("voter.heartbeatBytes"),
  );
  addVoter(
    "heap B of 84,000 request ids and 4,100 exceptions",
    "derived",
    null,
    () =>
      lineAt("voter.requestIdBytes", scale.changesPerDay) + lineAt("voter.exceptionBytes", scale.teamCount),
  );
  addVoter("B of a configuration with an exception for each team", "derived", scale.maxConfigBytes, () =>
    lineAt("voter.exceptionSnapshotBytes", scale.teamCount),
  );
  addVoter("ms blocked by a snapshot of 84,000 request ids", "derived", scale.stallMs, () =>
    lineAt("voter.snapshotCpuMs", scale.changesPerDay),
  );
  addVoter("ms to catch up on 2,700 missed changes, processor time", "derived", null, () =>
    lineAt("voter.catchUpCpuMs", 2700),
  );
  const addClaims = add.bind(null, "claim group (set aside)");
  addClaims(
    "heap B for each claim/s sustained for 24 h",
    "derived",
    null,
    () => perUnit("claims.recordBytes") * 86_400,
  );
  addClaims(
    "claims/s of one core shared by 3 voters, without disks",
    "derived",
    null,
    () => 1000 / perUnit("claims.claimCpuMs"),
  );
  const addLead = add.bind(null, "group lead");
  addLead("ms of a plan, 1 layer of 256 experts on 32 ranks", "measured", scale.planMs, () =>
    pointAt("lead.planMsBy_layerCount", 1),
  );
  addLead("ms of a plan, 58 layers", "measured", null, () =>
    pointAt("lead.planMsBy_layerCount", scale.layerCount),
  );
  addLead(
    "B/s of 31 ranks' reports a minute, 58 layers",
    "not built",
    scale.nodeBytesPerS,
    () => (31 * lineAt("lead.reportBytes", scale.layerCount)) / 60,
  );
  add(
    "configuration",
    "B/s to a node for 1 change/s",
    "derived",
    scale.nodeBytesPerS,
    () => perUnit("config.deltaBytes") * scale.changesPerS,
  );
  add(
    "fleet",
    "instances set aside",
    "derived",
    scale.instances,
    () => configVoters + claimVoters + scale.relayCount,
  );
  return rows;
}
