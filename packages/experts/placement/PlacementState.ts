import type { PlacementItem } from "./PlacementItem";
import type { RunnerState } from "./RunnerState";

interface PlacedRunner {
  readonly state: RunnerState;
  readonly items: Set<string>;
  freeBytes: number;
}

/** Mutable copy of the runners during planning. */
export class PlacementState {
  readonly runners: readonly PlacedRunner[];
  readonly #items: ReadonlyMap<string, PlacementItem>;

  constructor(runners: readonly RunnerState[], items: readonly PlacementItem[]) {
    this.#items = new Map(items.map((item) => [item.name, item]));
    this.runners = runners.map((state) => {
      const used = state.items.reduce((sum, name) => sum + this.getSize(name), 0);
      return { state, items: new Set(state.items), freeBytes: state.capacityBytes - used };
    });
  }

  getSize(name: string): number {
    return this.#items.get(name)?.sizeBytes ?? 0;
  }

  listHolders(name: string): PlacedRunner[] {
    return this.runners.filter(({ state, items }) => !state.isLeaving && items.has(name));
  }

  /**
   * Desired number of copies: the demand, but at least two for an item in use, so that it survives the loss
   * of a domain.
   */
  getWantedCopies({ demandRunners }: PlacementItem): number {
    return demandRunners <= 0 ? 0 : Math.max(2, Math.ceil(demandRunners));
  }

  countDomains(holders: readonly PlacedRunner[]): number {
    return new Set(holders.map(({ state }) => state.failureDomain)).size;
  }

  /** Number of missing copies; 1 if only a copy in a second failure domain is missing. */
  getShortfall(item: PlacementItem): number {
    const holders = this.listHolders(item.name);
    const wanted = this.getWantedCopies(item);
    const missesDomain = wanted > 0 && holders.length >= wanted && this.countDomains(holders) < 2;
    return Math.max(missesDomain ? 1 : 0, wanted - holders.length);
  }

  /**
   * Whether the runner's copy may be unloaded: the item keeps its desired copies in at least two failure
   * domains, and no adapter on the runner needs it.
   */
  canUnload(runner: PlacedRunner, name: string): boolean {
    const item = this.#items.get(name);
    if (item === undefined) {
      return true;
    }
    if ([...runner.items].some((other) => this.#items.get(other)?.base === name)) {
      return false;
    }
    const wanted = this.getWantedCopies(item);
    if (wanted === 0 || runner.state.isLeaving) {
      return wanted === 0;
    }
    const rest = this.listHolders(name).filter((holder) => holder !== runner);
    return rest.length >= wanted && this.countDomains(rest) >= 2;
  }

  load(runner: PlacedRunner, name: string): void {
    runner.items.add(name);
    runner.freeBytes -= this.getSize(name);
  }

  unload(runner: PlacedRunner, name: string): void {
    runner.items.delete(name);
    runner.freeBytes += this.getSize(name);
  }
}
