import { MapDecision } from "@clementinemux/messages/MapDecision";
import type { ExpertMap } from "../ExpertMap";
import type { GroupShape } from "../GroupShape";
import { findMapFault } from "../findMapFault";
import type { ArmedMap } from "./ArmedMap";
import { OrderFault } from "./OrderFault";
import type { RankOrder } from "./RankOrder";
import { RankOrderKind } from "./RankOrderKind";
import type { RankStatus } from "./RankStatus";
import type { ScheduledMap } from "./ScheduledMap";
import { findOrderFault } from "./findOrderFault";

interface RankActivationSettings {
  readonly rank: number;
  readonly incarnation: string;
  readonly shape: GroupShape;
  readonly orderMaxAgeMs: number;
  /** Whether this engine checks the epoch and the age of an order; its agent always does. Default: true. */
  readonly checksFencing?: boolean;
}

interface OrderedMap {
  readonly epoch: number;
  readonly map: ExpertMap;
}

/**
 * Rank side of map activation, without I/O. State is in memory only: a restarted rank has lost its armed and
 * its prepared map, and runs no step until the leader has sent it the map schedule of the group.
 */
export class RankActivation {
  readonly #settings: RankActivationSettings;
  #epochSeen = 0;
  #sequence = 0;
  #isJoined = false;
  #nextStep = 0;
  #schedule: ScheduledMap[] = [];
  #loading: OrderedMap | null = null;
  #prepared: OrderedMap | null = null;
  #armed: ArmedMap | null = null;

  constructor(settings: RankActivationSettings) {
    this.#settings = settings;
  }

  /** Map whose weights the engine must load; retry the request for them until `setLoaded`. */
  get mapToLoad(): ExpertMap | null {
    return this.#loading?.map ?? null;
  }

  getStatus(nowMs: number): RankStatus {
    this.#sequence += 1;
    const prepared = this.#prepared;
    return {
      rank: this.#settings.rank,
      stamp: { incarnation: this.#settings.incarnation, atMs: nowMs },
      sequence: this.#sequence,
      epochSeen: this.#epochSeen,
      isJoined: this.#isJoined,
      nextStep: this.#nextStep,
      schedule: [...this.#schedule],
      prepared: prepared === null ? null : { version: prepared.map.version, epoch: prepared.epoch },
      armed: this.#armed,
    };
  }

  /** Version to use for the next step, or null while the rank must not start that step. */
  getNextVersion(): number | null {
    if (!this.#isJoined || (this.#armed !== null && this.#nextStep >= this.#armed.beforeStep)) {
      return null;
    }
    return this.#schedule.findLast(({ fromStep }) => fromStep <= this.#nextStep)?.version ?? null;
  }

  /** Call this when the engine starts the next step. */
  startStep(): void {
    this.#nextStep += 1;
  }

  /**
   * Call this when the ranks' collective group was recreated after a start or a failure; it continues at
   * `step`.
   */
  setStep(step: number): void {
    this.#nextStep = step;
  }

  /** Call this when the weights of a version are loaded. A late response for another version is ignored. */
  setLoaded(version: number): void {
    if (this.#loading?.map.version === version) {
      this.#prepared = this.#loading;
      this.#loading = null;
    }
  }

  /** Carries out an order and returns null, or rejects it and returns the reason. */
  handle(order: RankOrder, nowMs: number): OrderFault | null {
    const { incarnation, checksFencing = true } = this.#settings;
    // An engine without fencing still rejects orders for an earlier incarnation, whose state is lost.
    const orderMaxAgeMs = checksFencing ? this.#settings.orderMaxAgeMs : Number.POSITIVE_INFINITY;
    const epochSeen = checksFencing ? this.#epochSeen : 0;
    const fault = findOrderFault({ incarnation, orderMaxAgeMs, epochSeen }, order, nowMs);
    if (fault !== null) {
      return fault;
    }
    this.#epochSeen = Math.max(this.#epochSeen, order.epoch);
    switch (order.kind) {
      case RankOrderKind.Query:
        return null;
      case RankOrderKind.Join:
        return this.#join(order.schedule);
      case RankOrderKind.Prepare:
        return this.#prepare(order.map, order.epoch);
      case RankOrderKind.Arm:
        return this.#arm(order);
      case RankOrderKind.Decide:
        return this.#applyDecision(order.version, order.decision);
    }
  }

  #join(schedule: readonly ScheduledMap[]): OrderFault | null {
    if (this.#isJoined) {
      return OrderFault.AlreadyJoined;
    }
    this.#schedule = [...schedule];
    this.#isJoined = true;
    return null;
  }

  #prepare(map: ExpertMap, epoch: number): OrderFault | null {
    if (!this.#isJoined) {
      return OrderFault.NotJoined;
    }
    if (this.#armed !== null) {
      return OrderFault.AlreadyArmed;
    }
    if (map.version <= (this.#schedule.at(-1)?.version ?? 0)) {
      return OrderFault.VersionPassed;
    }
    if (findMapFault(this.#settings.shape, map) !== null) {
      return OrderFault.MapInvalid;
    }
    const isKnown = [this.#loading, this.#prepared].some(
      (known) => known?.map.version === map.version && known.epoch === epoch,
    );
    if (!isKnown) {
      this.#prepared = null;
      this.#loading = { epoch, map };
    }
    return null;
  }

  #arm(order: {
    readonly version: number;
    readonly epoch: number;
    readonly beforeStep: number;
  }): OrderFault | null {
    const { version, epoch, beforeStep } = order;
    if (this.#armed !== null) {
      return this.#armed.version === version && this.#armed.epoch === epoch ? null : OrderFault.AlreadyArmed;
    }
    if (this.#prepared?.map.version !== version || this.#prepared.epoch !== epoch) {
      return OrderFault.NotPrepared;
    }
    if (this.#nextStep > beforeStep) {
      return OrderFault.StepStarted;
    }
    this.#armed = { version, epoch, beforeStep };
    return null;
  }

  #applyDecision(version: number, decision: MapDecision): OrderFault | null {
    if (decision === MapDecision.Abort) {
      this.#discard(version);
      return null;
    }
    if (this.#armed?.version !== version) {
      return OrderFault.NotArmed;
    }
    this.#schedule = [...this.#schedule.slice(-1), { version, fromStep: this.#armed.beforeStep }];
    this.#discard(version);
    return null;
  }

  #discard(version: number): void {
    this.#loading = this.#loading?.map.version === version ? null : this.#loading;
    this.#prepared = this.#prepared?.map.version === version ? null : this.#prepared;
    this.#armed = this.#armed?.version === version ? null : this.#armed;
  }
}
