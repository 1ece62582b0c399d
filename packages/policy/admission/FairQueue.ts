import { ClassOrder } from "./ClassOrder";
import type { FairQueueItem } from "./FairQueueItem";
import { getRankWeight } from "./getRankWeight";

interface Flow<Item> {
  readonly items: Item[];
  weight: number;
  /** Virtual start time of the flow's next item. */
  startTag: number;
  costMs: number;
}

interface ClassFlow<Item> extends Flow<Item> {
  readonly requestClass: string | number;
  readonly teams: Map<string, Flow<Item>>;
  virtualTime: number;
}

/** A class and its teams with items, for a dry run. */
interface ClassCopy<Item> {
  readonly requestClass: string | number;
  teams: Flow<Item>[];
  weight: number;
  startTag: number;
}

/**
 * Start-time fair queueing on two levels: among classes by class weight, and within a class among teams by
 * team weight. The cost of an item is its predicted service time, so a team cannot gain by sending longer
 * requests. A flow that was idle starts at the current virtual time: it has neither credit nor debt.
 */
export class FairQueue<Item extends FairQueueItem<string | number>> {
  readonly #classes = new Map<Item["requestClass"], ClassFlow<Item>>();
  readonly #order: ClassOrder;
  #virtualTime = 0;
  #size = 0;
  #costMs = 0;

  constructor(order = ClassOrder.Weight) {
    this.#order = order;
  }

  get size(): number {
    return this.#size;
  }

  get costMs(): number {
    return this.#costMs;
  }

  /** The item that is served next if it can run; null without items. */
  get first(): Item | null {
    const classes = this.#listActive().map(({ teams, ...flow }) => ({ ...flow, teams: [...teams.values()] }));
    const teams = this.#findNextClass(classes)?.teams ?? [];
    return findFirst(teams)?.items[0] ?? null;
  }

  push(item: Item, front = false): void {
    const classFlow = this.#getClass(item);
    const team = getTeam(classFlow, item);
    if (classFlow.costMs === 0) {
      classFlow.startTag = Math.max(classFlow.startTag, this.#virtualTime);
    }
    if (team.items.length === 0) {
      team.startTag = Math.max(team.startTag, classFlow.virtualTime);
    }
    team.items.splice(front ? 0 : findPlace(team.items, item), 0, item);
    team.costMs += item.costMs;
    classFlow.costMs += item.costMs;
    this.#costMs += item.costMs;
    this.#size += 1;
  }

  /**
   * Removes and returns the next item that can run. Only the next item of each class in fair order is
   * considered.
   */
  pop(canRun: (item: Item) => boolean): Item | null {
    const classes = this.#listActive()
      .map((classFlow) => ({ classFlow, tag: this.#getTag(classFlow, classFlow.teams.values()) }))
      .sort((left, right) => left.tag - right.tag);
    for (const { classFlow } of classes) {
      const team = findFirst(classFlow.teams.values());
      const item = team?.items[0];
      if (team === null || item === undefined || !canRun(item)) {
        continue;
      }
      this.#virtualTime = Math.max(this.#virtualTime, classFlow.startTag);
      classFlow.virtualTime = Math.max(classFlow.virtualTime, team.startTag);
      classFlow.startTag += item.costMs / classFlow.weight;
      team.startTag += item.costMs / team.weight;
      this.remove(item);
      return item;
    }
    return null;
  }

  remove(item: Item): boolean {
    const classFlow = this.#classes.get(item.requestClass);
    const team = classFlow?.teams.get(item.team);
    const index = team?.items.indexOf(item) ?? -1;
    if (classFlow === undefined || team === undefined || index < 0) {
      return false;
    }
    team.items.splice(index, 1);
    team.costMs = team.items.length === 0 ? 0 : team.costMs - item.costMs;
    this.#size -= 1;
    this.#costMs = this.#size === 0 ? 0 : this.#costMs - item.costMs;
    const isClassEmpty = [...classFlow.teams.values()].every(({ items }) => items.length === 0);
    classFlow.costMs = isClassEmpty ? 0 : classFlow.costMs - item.costMs;
    // The start tag of an idle team has no effect once virtual time has passed it, so the team can be
    // removed.
    if (team.items.length === 0 && team.startTag <= classFlow.virtualTime) {
      classFlow.teams.delete(item.team);
    }
    return true;
  }

  /** Next item of each class in fair order, the class with the highest weight first. */
  getHeads(): readonly Item[] {
    return [...this.#classes.values()]
      .sort((left, right) => right.weight - left.weight)
      .flatMap((classFlow) => findFirst(classFlow.teams.values())?.items.slice(0, 1) ?? []);
  }

  /** All items in the order in which they would be served if each could run. Changes nothing. */
  listInOrder(): readonly Item[] {
    const classes = this.#listActive().map(copyClass);
    const order: Item[] = [];
    while (order.length < this.#size) {
      const classFlow = this.#findNextClass(classes);
      const team = classFlow === null ? null : findFirst(classFlow.teams);
      const item = team?.items.shift();
      if (classFlow === null || team === null || item === undefined) {
        break;
      }
      order.push(item);
      classFlow.startTag += item.costMs / classFlow.weight;
      team.startTag += item.costMs / team.weight;
      classFlow.teams = classFlow.teams.filter(({ items }) => items.length > 0);
    }
    return order;
  }

  /** Visits each queued item with its predicted wait if `slotCount` items are served concurrently. */
  forEachWait(slotCount: number, visit: (item: Item, waitMs: number) => void): void {
    for (const classFlow of this.#classes.values()) {
      for (const team of classFlow.teams.values()) {
        let aheadMs = 0;
        for (const item of [...team.items]) {
          visit(item, this.#getWaitMs(classFlow, team, aheadMs, 0, slotCount));
          aheadMs += item.costMs;
        }
      }
    }
  }

  /** Predicted wait of a new item. */
  predictWaitMs(item: FairQueueItem<Item["requestClass"]>, slotCount: number): number {
    const classFlow = this.#classes.get(item.requestClass);
    if (classFlow === undefined) {
      return this.#getWaitMs(null, null, 0, item.classWeight, slotCount);
    }
    const team = classFlow.teams.get(item.team) ?? null;
    const addedWeight = classFlow.costMs === 0 ? item.classWeight : 0;
    return this.#getWaitMs(classFlow, team, team?.costMs ?? 0, addedWeight, slotCount, item.teamWeight);
  }

  /**
   * The wait is the time to serve the team's earlier items at the team's share of the slots, but at most the
   * time to serve all queued items on all slots.
   */
  #getWaitMs(
    classFlow: ClassFlow<Item> | null,
    team: Flow<Item> | null,
    aheadMs: number,
    addedClassWeight: number,
    slotCount: number,
    newTeamWeight = 1,
  ): number {
    const slots = Math.max(slotCount, 1);
    const active = this.#listActive();
    const ownClassWeight = classFlow?.weight ?? addedClassWeight;
    const classShare = ownClassWeight / (sumWeights(active) + addedClassWeight);
    const teams = [...(classFlow?.teams.values() ?? [])].filter(({ items }) => items.length > 0);
    const isTeamActive = team !== null && team.items.length > 0;
    const ownWeight = team?.weight ?? newTeamWeight;
    const teamShare = ownWeight / (sumWeights(teams) + (isTeamActive ? 0 : ownWeight));
    // Items are served whole, so a new flow waits for about one item of the others.
    const meanCostMs = this.#size === 0 ? 0 : this.#costMs / this.#size;
    return Math.min(this.#costMs / slots, (aheadMs / (classShare * teamShare) + meanCostMs) / slots);
  }

  #listActive(): ClassFlow<Item>[] {
    const active = [...this.#classes.values()].filter(({ costMs }) => costMs > 0);
    this.#rank(active);
    return active;
  }

  /** Sets the weights of classes that are ordered by priority. */
  #rank(classes: readonly { readonly requestClass: string | number; weight: number }[]): void {
    if (this.#order === ClassOrder.Priority) {
      const byPriority = [...classes].sort((a, b) => Number(a.requestClass) - Number(b.requestClass));
      byPriority.forEach((classFlow, rank) => {
        classFlow.weight = getRankWeight(rank);
      });
    }
  }

  #findNextClass(classes: readonly ClassCopy<Item>[]): ClassCopy<Item> | null {
    let next: ClassCopy<Item> | null = null;
    let nextTag = Infinity;
    const active = classes.filter(({ teams }) => teams.length > 0);
    this.#rank(active);
    for (const classFlow of active) {
      const tag = this.#getTag(classFlow, classFlow.teams);
      if (tag < nextTag) {
        next = classFlow;
        nextTag = tag;
      }
    }
    return next;
  }

  /** Virtual time by which classes are ordered. */
  #getTag({ startTag, weight }: { startTag: number; weight: number }, teams: Iterable<Flow<Item>>): number {
    const costMs = this.#order === ClassOrder.Priority ? (findFirst(teams)?.items[0]?.costMs ?? 0) : 0;
    return startTag + costMs / weight;
  }

  #getClass(item: Item): ClassFlow<Item> {
    let flow = this.#classes.get(item.requestClass);
    if (flow === undefined) {
      flow = {
        requestClass: item.requestClass,
        items: [],
        teams: new Map(),
        weight: 1,
        startTag: 0,
        virtualTime: 0,
        costMs: 0,
      };
      this.#classes.set(item.requestClass, flow);
    }
    flow.weight = this.#order === ClassOrder.Weight ? item.classWeight : flow.weight;
    return flow;
  }
}

function getTeam<Item extends FairQueueItem<string | number>>(
  classFlow: ClassFlow<Item>,
  item: Item,
): Flow<Item> {
  let team = classFlow.teams.get(item.team);
  if (team === undefined) {
    team = { items: [], weight: 1, startTag: 0, costMs: 0 };
    classFlow.teams.set(item.team, team);
  }
  team.weight = item.teamWeight;
  return team;
}

/** Copies of a class and of its teams with items, for a dry run. */
function copyClass<Item>({ requestClass, teams, weight, startTag }: ClassFlow<Item>): ClassCopy<Item> {
  const active = [...teams.values()].filter(({ items }) => items.length > 0);
  return {
    requestClass,
    teams: active.map((team) => ({ ...team, items: [...team.items] })),
    weight,
    startTag,
  };
}

/** Index for a new item: behind all that are due no later, so that items without a due time keep their order. */
function findPlace(
  items: readonly { dueAtMs?: number }[],
  { dueAtMs = Infinity }: { dueAtMs?: number },
): number {
  let at = items.length;
  while (at > 0 && (items[at - 1]?.dueAtMs ?? Infinity) > dueAtMs) {
    at -= 1;
  }
  return at;
}

function findFirst<Some extends { readonly items: readonly unknown[]; readonly startTag: number }>(
  flows: Iterable<Some>,
): Some | null {
  let first: Some | null = null;
  for (const flow of flows) {
    if (flow.items.length > 0 && (first === null || flow.startTag < first.startTag)) {
      first = flow;
    }
  }
  return first;
}

function sumWeights(flows: readonly { weight: number }[]): number {
  return flows.reduce((sum, { weight }) => sum + weight, 0);
}
