import type { RankHoldState } from "./RankHoldState";
import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";
import type { DesiredMap } from "./DesiredMap";
import { pausingRank } from "./pausingRank";
import { isActivationInFlight } from "./isActivationInFlight";
import { isGroupOpen } from "./isGroupOpen";

/**
 * Chooses the orders of the next stage in activating a map, from the reported states of all ranks. It keeps
 * no state, so it can also roll back an activation of another leader, or resume a group whose ranks are all
 * armed. It does not arm further ranks for a map of another leader: the version does not show whether all
 * ranks have prepared the same map. Ranks are armed only while the group is paused before the pass at which
 * the map switches, and the group resumes only when all ranks or none are armed. `leadSteps` is the number of
 * passes from the last started one to that pass.
 */
export function chooseHoldOrders(
  ranks: readonly RankHoldState[],
  desiredMap: DesiredMap | null,
  isPreparing: (rank: number) => boolean,
  leadSteps: number,
): HoldOrder[] {
  const [first] = ranks;
  if (first === undefined || !isGroupOpen(ranks)) {
    return [];
  }
  if (isActivationInFlight(ranks)) {
    return settleActivation(ranks, desiredMap);
  }
  if (
    desiredMap?.epoch !== first.epoch ||
    ranks.every(({ mapVersion }) => mapVersion >= desiredMap.version)
  ) {
    return [];
  }
  const unprepared = ranks.filter(({ preparedVersion }) => preparedVersion !== desiredMap.version);
  if (unprepared.length > 0) {
    const { version, hosting } = desiredMap;
    return unprepared
      .filter(({ rank }) => !isPreparing(rank))
      .map(({ rank, epoch }) => ({ kind: HoldOrderKind.Prepare, rank, epoch, version, hosting }));
  }
  const step = getLatestStep(ranks) + leadSteps;
  return [{ kind: HoldOrderKind.Hold, rank: pausingRank, epoch: first.epoch, step }];
}

/** Completes a started activation of the desired map; rolls back one that cannot be completed. */
function settleActivation(ranks: readonly RankHoldState[], desiredMap: DesiredMap | null): HoldOrder[] {
  const holder = ranks.find(({ heldStep }) => heldStep !== null);
  const activation = findActivation(ranks, desiredMap, holder?.heldStep ?? null);
  if (activation === null) {
    return createGoOrders(ranks);
  }
  const { version, step } = activation;
  if (ranks.some(({ mapVersion }) => mapVersion === version)) {
    // The pass started while the states were read, so the other ranks have switched by now, too.
    return createGoOrders(ranks);
  }
  const isDue = getLatestStep(ranks) >= step;
  const missing = ranks.filter(({ armed }) => armed?.version !== version || armed.step !== step);
  const isDesired = desiredMap?.version === version && desiredMap.epoch === ranks[0]?.epoch;
  const canComplete =
    isDesired && !isDue && missing.every((rank) => rank.armed === null && rank.preparedVersion === version);
  if (!canComplete && missing.length > 0) {
    const armed = ranks.filter((rank) => rank.armed !== null);
    return armed.map(({ rank, epoch, armed: held }) => ({
      kind: HoldOrderKind.Disarm,
      rank,
      epoch,
      version: held?.version ?? version,
    }));
  }
  if (missing.length === 0) {
    return createGoOrders(ranks);
  }
  if (holder === undefined) {
    // Some ranks are armed but the group is not paused: it must not start the pass before all are armed.
    return [{ kind: HoldOrderKind.Hold, rank: pausingRank, epoch: ranks[0]?.epoch ?? 0, step }];
  }
  return missing.map(({ rank, epoch }) => ({ kind: HoldOrderKind.Arm, rank, epoch, version, step }));
}

/** Map version and pass of the activation in flight; null when no rank can have been armed. */
function findActivation(
  ranks: readonly RankHoldState[],
  desiredMap: DesiredMap | null,
  heldStep: number | null,
): { readonly version: number; readonly step: number } | null {
  const armed = ranks.find((rank) => rank.armed !== null)?.armed ?? null;
  if (armed !== null) {
    return armed;
  }
  if (desiredMap === null || desiredMap.epoch !== ranks[0]?.epoch || heldStep === null) {
    return null;
  }
  const { version } = desiredMap;
  const isPrepared = ranks.every(
    ({ preparedVersion, mapVersion }) => preparedVersion === version && mapVersion < version,
  );
  return isPrepared ? { version, step: heldStep } : null;
}

function createGoOrders(ranks: readonly RankHoldState[]): HoldOrder[] {
  return ranks.flatMap(({ rank, epoch, heldStep }) =>
    heldStep === null ? [] : [{ kind: HoldOrderKind.Go as const, rank, epoch, step: heldStep }],
  );
}

function getLatestStep(ranks: readonly RankHoldState[]): number {
  return Math.max(...ranks.map(({ step }) => step));
}
