import { TargetRole } from "@clementinemux/common/TargetRole";
import type { PlacementInput } from "./PlacementInput";
import type { PlacementItem } from "./PlacementItem";
import type { PlacementOrder } from "./PlacementOrder";
import { PlacementOrderKind } from "./PlacementOrderKind";
import { PlacementState } from "./PlacementState";
import type { RunnerState } from "./RunnerState";

type PlacedRunner = PlacementState["runners"][number];

/** Items to unload to free enough memory, or null if not enough can be freed. */
function findItemsToUnload(state: PlacementState, runner: PlacedRunner, sizeBytes: number): string[] | null {
  const unloaded: string[] = [];
  let freeBytes = runner.freeBytes;
  for (const name of runner.items) {
    if (freeBytes >= sizeBytes) {
      break;
    }
    if (state.canUnload(runner, name)) {
      unloaded.push(name);
      freeBytes += state.getSize(name);
    }
  }
  return freeBytes >= sizeBytes ? unloaded : null;
}

interface Choice {
  readonly runner: PlacedRunner;
  readonly unloaded: readonly string[];
  readonly score: number;
}

/**
 * Chooses a runner that holds the base: prefers a new failure domain, then few items to unload, then free
 * memory.
 */
function chooseRunner(state: PlacementState, item: PlacementItem): Choice | null {
  const holders = state.listHolders(item.name);
  const domains = new Set(holders.map((holder) => holder.state.failureDomain));
  let best: Choice | null = null;
  for (const runner of state.runners) {
    const isCandidate = !runner.state.isLeaving && !runner.items.has(item.name);
    if (!isCandidate || (item.base !== null && !runner.items.has(item.base))) {
      continue;
    }
    const unloaded = findItemsToUnload(state, runner, item.sizeBytes);
    if (unloaded === null) {
      continue;
    }
    const isNewDomain = !domains.has(runner.state.failureDomain);
    const freeShare = runner.freeBytes / Math.max(1, runner.state.capacityBytes);
    const score = (isNewDomain ? 100 : 0) - unloaded.length + Math.max(0, freeShare);
    if (best === null || score > best.score) {
      best = { runner, unloaded, score };
    }
  }
  return best;
}

/**
 * Orders items by the failure domains that hold them (0, 1, more), then bases before adapters, then by
 * missing copies.
 */
function compareUrgency(state: PlacementState, left: PlacementItem, right: PlacementItem): number {
  const getDomainCount = (item: PlacementItem): number =>
    Math.min(2, state.countDomains(state.listHolders(item.name)));
  return (
    getDomainCount(left) - getDomainCount(right) ||
    Number(left.base !== null) - Number(right.base !== null) ||
    state.getShortfall(right) - state.getShortfall(left) ||
    (left.name < right.name ? -1 : 1)
  );
}

function planLoads(state: PlacementState, input: PlacementInput): PlacementOrder[] {
  const orders: PlacementOrder[] = [];
  const blocked = new Set<string>();
  let leftBytes = input.maxBytes;
  for (;;) {
    const [item] = input.items
      .filter((candidate) => !blocked.has(candidate.name) && state.getShortfall(candidate) > 0)
      .sort((left, right) => compareUrgency(state, left, right));
    if (item === undefined) {
      return orders;
    }
    const choice = item.sizeBytes <= leftBytes ? chooseRunner(state, item) : null;
    if (choice === null) {
      blocked.add(item.name);
      continue;
    }
    const { target } = choice.runner.state;
    for (const name of choice.unloaded) {
      state.unload(choice.runner, name);
      orders.push({ kind: PlacementOrderKind.Unload, target, item: name });
    }
    state.load(choice.runner, item.name);
    leftBytes -= item.sizeBytes;
    orders.push({ kind: PlacementOrderKind.Load, target, item: item.name, sizeBytes: item.sizeBytes });
  }
}

function canChangeRole(
  runners: readonly RunnerState[],
  roles: ReadonlyMap<string, TargetRole>,
  leaving: RunnerState,
): boolean {
  const role = roles.get(leaving.target);
  const isServedElsewhere = (name: string): boolean =>
    runners.some(
      (other) =>
        other.target !== leaving.target &&
        !other.isLeaving &&
        other.items.includes(name) &&
        [role, TargetRole.Both].includes(roles.get(other.target)),
    );
  return leaving.items.every(isServedElsewhere);
}

/**
 * Changes the role (prefill or decode) of at most one dedicated runner per plan, since a change empties its
 * cache.
 */
function planRole(input: PlacementInput): PlacementOrder[] {
  const active = input.runners.filter(({ isLeaving }) => !isLeaving);
  const dedicated = active.filter(({ role }) => role !== TargetRole.Both);
  const roles = new Map(active.map(({ target, role }) => [target, role]));
  const prefillCount = dedicated.filter(({ role }) => role === TargetRole.Prefill).length;
  const excess = prefillCount - dedicated.length * input.prefillShare;
  // Requires an excess of one runner; a smaller one would be reverted when the demand changes back.
  if (Math.abs(excess) < 1) {
    return [];
  }
  const from = excess > 0 ? TargetRole.Prefill : TargetRole.Decode;
  const to = excess > 0 ? TargetRole.Decode : TargetRole.Prefill;
  const runner = dedicated.find((one) => one.role === from && canChangeRole(active, roles, one));
  return runner === undefined ? [] : [{ kind: PlacementOrderKind.SetRole, target: runner.target, role: to }];
}

/**
 * Plans which runners load which items, by demand and within the granted bytes. An item in use that has
 * copies in two failure domains keeps them, and its last copy is never unloaded.
 */
export function planPlacement(input: PlacementInput): PlacementOrder[] {
  const state = new PlacementState(input.runners, input.items);
  return [...planLoads(state, input), ...planRole(input)];
}
