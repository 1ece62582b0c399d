import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { chooseMaxNewPerRank } from "@clementinemux/experts/hold/chooseMaxNewPerRank";
import { chooseMinGain } from "@clementinemux/experts/hold/chooseMinGain";
import { DemandMonitor } from "@clementinemux/experts/hold/DemandMonitor";
import type { BalancedPlan } from "@clementinemux/experts/hold/BalancedPlan";
import type { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { getExpertsDigest } from "@clementinemux/experts/hold/getExpertsDigest";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import { getHostingDigest } from "@clementinemux/experts/hold/getHostingDigest";
import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import { isActivationInFlight } from "@clementinemux/experts/hold/isActivationInFlight";
import { isGroupOpen } from "@clementinemux/experts/hold/isGroupOpen";
import type { DesiredMap } from "@clementinemux/experts/hold/DesiredMap";
import { MapVersionAllocator } from "@clementinemux/experts/hold/MapVersionAllocator";
import { measureSkew } from "@clementinemux/experts/hold/measureSkew";
import { planBalancedMap } from "@clementinemux/experts/hold/planBalancedMap";
import type { RankHosting } from "@clementinemux/experts/hold/RankHosting";
import type { ActivateRequest } from "@clementinemux/ranker/ActivateRequest";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import type { RankInspection } from "@clementinemux/ranker/RankInspection";
import type { RankChannel } from "@clementinemux/ranker/RankChannel";
import type { ExpertParameters } from "@clementinemux/routes/ExpertParameters";
import type { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import type { GroupPassState } from "./GroupPassState";
import { MapOutcome } from "./MapOutcome";
import { ActiveHosting } from "./ActiveHosting";

interface GroupControllerOptions {
  readonly group: string;
  readonly parameters: ExpertParameters;
  /** Term of the leader. */
  readonly term: number;
  /** Fencing tokens of the leader's orders to all groups. */
  readonly fences: FencingTokens;
  /** Lowest objective for the gap between tokens among the routes to the service, in ms; 0 without one. */
  readonly getGapObjectiveMs: () => number;
  /** Delegates the orders of an activation to another process. Resolves with whether it has sent them. */
  readonly activate: (request: ActivateRequest) => Promise<boolean>;
  readonly clock: Clock;
  readonly metrics: CoordinatorMetrics;
  readonly logger: Logger;
}

/** Map whose gain is worth the copies of experts. */
interface MapDraft {
  /** Placement from which it was planned. */
  readonly present: RankHosting;
  readonly plan: BalancedPlan;
}

/** Skew up to which a layer set stays unchanged: copies cost money, and a finer balance saves little time. */
const maxBalancedSkew = 1.2;
const bitsPerByte = 8;
/** Above this skew, streams are late. */
const urgentSkew = 1.8;
/** Time between two inspections of a group without a desired map. */
const intervalMs = 120;
/** The same while a map is about to be prepared, or the demand for experts shifts. */
const shortIntervalMs = 30;
/** A group without a new pass for this time may be paused; passes of a healthy group take less. */
const pauseSuspectedMs = 110;
/** A group that has not begun a pass for this time is idle, or stalled if a rank is missing. */
const idleAfterMs = 400;
/** Time between two direct reads for a plan: a rank may have failed together with its ranker. */
const planReadIntervalMs = 1000;
/** Time between two direct reads while ranks copy experts. */
const copyReadIntervalMs = 100;
/** Time for which the leader sends the orders itself after a failed delegation. */
const delegateRetryMs = 2000;
/** A desired map that is not active after this time is abandoned; a later plan replaces it. */
const activationTimeoutMs = 6000;

/** Rebalances the experts of one group to follow the choices of its requests. */
export class GroupController {
  readonly #options: GroupControllerOptions;
  readonly #activation: GroupActivation;
  readonly #demand: DemandMonitor;
  readonly #versions: MapVersionAllocator;
  readonly #activeHosting: ActiveHosting;
  #links: readonly (RankChannel | null)[] = [];
  #plannedAtMs = 0;
  #copyMs = 0;
  #lastStep = 0;
  #steppedAtMs = -Infinity;
  #delegationFailedAtMs = -Infinity;
  #readAtMs = -Infinity;
  /** Whether all ranks have prepared the desired map, so that the group may be paused to activate it. */
  #isPrepared = false;
  #slowdowns: number[] = [];
  #isBroken = false;
  /** Ranks whose ranker did not respond to this inspection. */
  #silentRanks: readonly number[] = [];

  constructor(options: GroupControllerOptions) {
    this.#options = options;
    this.#demand = new DemandMonitor(options.parameters);
    this.#versions = new MapVersionAllocator(options.term);
    // A rank that has moved here from another group may have accepted a higher fencing token there.
    options.fences.raiseFloor();
    this.#activeHosting = new ActiveHosting({
      ...options.parameters,
      term: options.term,
      clock: options.clock,
    });
    this.#activation = new GroupActivation({
      inspect: async (rank) =>
        (await this.#inspect(rank, InspectionPart.None))?.state ?? this.#inspectDirectly(rank),
      order: (order, fence) => this.#links[order.rank]?.order(fence, order) ?? Promise.resolve(null),
      tokens: options.fences,
      nowMs: () => options.clock.monotonicMs(),
      reservedVersion: this.#versions.reserved,
    });
  }

  /** Time until the next inspection of the group; shorter when copies are about to complete. */
  get nextStepMs(): number {
    if (this.#activation.desiredMap === null) {
      return this.#demand.isShifting ? shortIntervalMs : intervalMs;
    }
    const preparingMs = this.#activation.getPreparingMs();
    return preparingMs === null
      ? shortIntervalMs
      : Math.min(intervalMs, Math.max(shortIntervalMs, this.#copyMs - preparingMs));
  }

  /** Speed of its forward passes, for the choice between the groups of a service. */
  get passState(): GroupPassState {
    const isIdle = this.#options.clock.monotonicMs() - this.#steppedAtMs >= idleAfterMs;
    const { passMs } = this.#activation;
    return {
      passMs: isIdle || passMs === 0 ? null : passMs,
      highestSlowdown: Math.max(1, ...this.#slowdowns),
      isStalled: this.#isBroken || (this.#silentRanks.length > 0 && isIdle),
    };
  }

  /** Performs the next step for the latest inspections; `links` and `inspections` are indexed by rank. */
  async step(
    links: readonly (RankChannel | null)[],
    inspections: readonly (RankInspection | null)[],
  ): Promise<void> {
    this.#links = links;
    const known = inspections.filter((inspection) => inspection !== null);
    this.#isBroken = known.some(({ state }) => !state.isOpen);
    this.#silentRanks = [...inspections.keys()].filter((rank) => inspections[rank] === null);
    const nowMs = this.#options.clock.monotonicMs();
    this.#demand.add(
      known.map(({ state, counts }) => ({ rank: state.rank, epoch: state.epoch, counts })),
      nowMs,
    );
    this.#slowdowns = inspections.map((inspection, rank) => inspection?.pace ?? this.#slowdowns[rank] ?? 1);
    const knownStates = known.map(({ state }) => state);
    this.#recordStep(knownStates, nowMs);
    let draft: MapDraft | null = null;
    if (this.#silentRanks.length > 0 && !this.#needsDirectReads(knownStates, nowMs)) {
      draft = this.#activation.desiredMap === null ? await this.#draft(knownStates, nowMs) : null;
      if (draft === null) {
        return;
      }
    }
    const states = await this.#completeStates(inspections, nowMs);
    if (states === null) {
      return;
    }
    this.#activation.recordStep(states);
    this.#checkPrepared(known);
    // An earlier leader may have paused the group for an activation, which is completed before any new plan.
    if (this.#activation.desiredMap !== null || !isActivationInFlight(states)) {
      await this.#reviewDesiredMap(states, draft, nowMs);
    }
    if (this.#activation.isReady(states)) {
      this.#isPrepared = true;
      const isHandled = !(await this.#haveAllPrepared(inspections)) || (await this.#delegate(states, nowMs));
      if (isHandled) {
        return;
      }
    }
    if (await this.#activation.advance(states)) {
      this.#completeActivation();
    }
  }

  /**
   * Delegates the orders of an activation to another coordinator, with this leader as the fallback. If a
   * process is killed or stalls between hold and go, the other one soon resumes the group. Resolves with
   * false when the delegation failed: this leader sends the orders from the same states, so a repeated hold
   * is for the same pass.
   */
  async #delegate(states: readonly RankHoldState[], nowMs: number): Promise<boolean> {
    const { desiredMap, leadSteps } = this.#activation;
    const places = this.#links.map((link) => link?.endpoints ?? null).filter((known) => known !== null);
    const isTooEarly = nowMs - this.#delegationFailedAtMs < delegateRetryMs;
    if (desiredMap === null || places.length < this.#links.length || isTooEarly) {
      return false;
    }
    const { fences, activate, logger } = this.#options;
    const { version, epoch } = desiredMap;
    const fence = fences.reserve();
    const silentRanks = this.#silentRanks;
    const isDone = await activate({ fence, version, epoch, leadSteps, places, silentRanks, states });
    if (!isDone) {
      this.#delegationFailedAtMs = nowMs;
      this.#activation.recordUnknownOrders(states);
    }
    logger.info({ ...this.#getLogFields(desiredMap), leadSteps, isDone }, "map handed over");
    return isDone;
  }

  #recordStep(known: readonly RankHoldState[], nowMs: number): void {
    const step = Math.max(0, ...known.map((state) => state.step));
    if (step !== this.#lastStep) {
      this.#lastStep = step;
      this.#steppedAtMs = nowMs;
    }
  }

  /**
   * Whether ranks with a silent ranker have to be read directly, which is charged for: at each inspection
   * while the group may be paused, and while there is a desired map unless only copies are left to do.
   */
  #needsDirectReads(known: readonly RankHoldState[], nowMs: number): boolean {
    if (nowMs - this.#steppedAtMs >= pauseSuspectedMs || isActivationInFlight(known)) {
      return true;
    }
    if (this.#activation.desiredMap === null || this.#activation.isCopying(known, this.#links.length)) {
      return false;
    }
    return this.#isPrepared || nowMs - this.#readAtMs >= copyReadIntervalMs;
  }

  /** States of all ranks, read directly where the ranker is silent; null when one cannot be read. */
  async #completeStates(
    inspections: readonly (RankInspection | null)[],
    nowMs: number,
  ): Promise<RankHoldState[] | null> {
    this.#readAtMs = this.#silentRanks.length > 0 ? nowMs : this.#readAtMs;
    const states = await Promise.all(
      inspections.map(async (inspection, rank) =>
        inspection === null ? this.#inspectDirectly(rank) : inspection.state,
      ),
    );
    return states.includes(null) ? null : states.filter((state) => state !== null);
  }

  /** Abandons the desired map if a rank has prepared other experts under its version, for another leader. */
  #checkPrepared(known: readonly RankInspection[]): void {
    const { desiredMap: map } = this.#activation;
    const other = known.find(({ state, preparedDigest }) => {
      const isSame = state.preparedVersion !== null && state.preparedVersion === map?.version;
      return isSame && preparedDigest !== null && preparedDigest !== getRankDigest(map.hosting, state.rank);
    });
    if (map !== null && other !== undefined) {
      const { rank } = other.state;
      this.#abandon(map, `rank ${rank} has prepared other experts under this version`);
    }
  }

  /** Whether each rank has prepared the experts of the desired map; the group is not paused before that. */
  async #haveAllPrepared(inspections: readonly (RankInspection | null)[]): Promise<boolean> {
    const { desiredMap } = this.#activation;
    if (desiredMap === null) {
      return false;
    }
    const digests = await Promise.all(
      inspections.map(async (inspection, rank) =>
        inspection === null
          ? this.#links[rank]?.readPreparedDigestDirectly(desiredMap.version)
          : inspection.preparedDigest,
      ),
    );
    return digests.every((digest, rank) => digest === getRankDigest(desiredMap.hosting, rank));
  }

  #abandon(map: DesiredMap, why: string): void {
    const { metrics, logger } = this.#options;
    logger.warn({ ...this.#getLogFields(map), why }, "map abandoned");
    metrics.maps.add(MapOutcome.Abandoned);
    this.#activation.clearDesiredMap();
  }

  /** `draft` was planned from the known ranks; null if there is none yet. */
  async #reviewDesiredMap(
    states: readonly RankHoldState[],
    draft: MapDraft | null,
    nowMs: number,
  ): Promise<void> {
    const [first] = states;
    if (first === undefined) {
      return;
    }
    const { desiredMap } = this.#activation;
    if (desiredMap !== null && desiredMap.epoch !== first.epoch) {
      this.#abandon(desiredMap, "the group has recovered");
    } else if (desiredMap !== null && nowMs - this.#plannedAtMs > activationTimeoutMs) {
      this.#abandon(desiredMap, `not active after ${activationTimeoutMs} ms`);
    }
    if (this.#activation.desiredMap !== null) {
      return;
    }
    const chosen = draft ?? (await this.#draft(states, nowMs));
    // Ranks that were read after the draft may have joined a recovered group, or have another map.
    if (chosen !== null && (await this.#activeHosting.read(states, this.#links)) === chosen.present) {
      this.#plan(states, chosen.plan, nowMs);
    }
  }

  /** Plans a map from the choices at the known ranks, which are about the same at the other ranks. */
  async #draft(known: readonly RankHoldState[], nowMs: number): Promise<MapDraft | null> {
    const isPartial = known.length < this.#links.length;
    if (isPartial && !isGroupOpen(known)) {
      return null;
    }
    const present = await this.#activeHosting.read(known, this.#links);
    const loads = present === null ? null : this.#computeLoads(present);
    const isReadDue = nowMs - this.#readAtMs >= planReadIntervalMs && !this.#links.includes(null);
    const canRead = !isPartial || isReadDue;
    return present === null || loads === null || !canRead ? null : this.#choosePlan(present, loads);
  }

  #computeLoads(present: RankHosting): readonly Float64Array[] | null {
    const { isShifting, recentChoices } = this.#demand;
    const loads = this.#demand.review(present, this.#slowdowns);
    if (this.#demand.isShifting !== isShifting) {
      const { group, logger } = this.#options;
      logger.info({ group, isShifting: !isShifting, recentChoices }, "demand for experts shifts");
    }
    return loads;
  }

  #choosePlan(present: RankHosting, loads: readonly Float64Array[]): MapDraft | null {
    const { placements, spare } = this.#options.parameters;
    const slowdowns = this.#slowdowns;
    const isUrgent = measureSkew(present, loads, slowdowns) > urgentSkew;
    const maxNewPerRank = chooseMaxNewPerRank(this.#options.parameters, isUrgent);
    const limits = { maxNewPerRank, goalSkew: maxBalancedSkew };
    const plan = planBalancedMap({ present, loads, paces: slowdowns, placements, spare, ...limits });
    const gain = (plan.presentSkew - plan.plannedSkew) / plan.presentSkew;
    const minGain = chooseMinGain(this.#activation.passMs, this.#options.getGapObjectiveMs());
    return gain < minGain ? null : { present, plan };
  }

  #plan(states: readonly RankHoldState[], plan: BalancedPlan, nowMs: number): void {
    const { group, term, parameters, metrics, logger } = this.#options;
    const highestReported = Math.max(...states.map(getHighestVersion));
    const version = this.#versions.allocate(highestReported);
    if (version === null) {
      logger.error({ group, term, highestReported }, "no map version left in this term");
      return;
    }
    const epoch = states[0]?.epoch ?? 0;
    this.#plannedAtMs = nowMs;
    this.#isPrepared = false;
    this.#copyMs = (plan.newPerRank * parameters.expertMb * bitsPerByte * 1000) / parameters.linkMbps;
    const desiredMap = { version, epoch, hosting: plan.hosting };
    this.#activation.setDesiredMap(desiredMap);
    metrics.maps.add(MapOutcome.Planned);
    const { presentSkew, plannedSkew, newPerRank, copies } = plan;
    const { isSeparated } = this.#demand;
    const { passMs } = this.#activation;
    const inputs = { presentSkew, plannedSkew, newPerRank, copies, isSeparated, passMs: Math.round(passMs) };
    logger.info({ ...this.#getLogFields(desiredMap), ...inputs }, "map planned");
  }

  #completeActivation(): void {
    const { desiredMap } = this.#activation;
    if (desiredMap !== null) {
      const { clock, metrics, logger } = this.#options;
      const tookMs = Math.round(clock.monotonicMs() - this.#plannedAtMs);
      metrics.maps.add(MapOutcome.Active);
      metrics.activations.observeMs(tookMs);
      logger.info({ ...this.#getLogFields(desiredMap), tookMs }, "map in force");
      this.#activeHosting.setActive(desiredMap);
      this.#activation.clearDesiredMap();
    }
  }

  /** Fields of a map for log lines. */
  #getLogFields({ version, epoch, hosting }: DesiredMap) {
    const { group, term } = this.#options;
    return { group, version, epoch, term, digest: getHostingDigest(hosting) };
  }

  #inspectDirectly(rank: number): Promise<RankHoldState | null> {
    return this.#links[rank]?.inspectDirectly() ?? Promise.resolve(null);
  }

  #inspect(rank: number, part: InspectionPart): Promise<RankInspection | null> {
    return this.#links[rank]?.inspect(this.#options.term, part) ?? Promise.resolve(null);
  }
}

function getRankDigest(hosting: RankHosting, rank: number): number {
  return getExpertsDigest(hosting.map((ranks) => ranks[rank] ?? []));
}

function getHighestVersion({ mapVersion, preparedVersion, armed }: RankHoldState): number {
  return Math.max(mapVersion, preparedVersion ?? 0, armed?.version ?? 0);
}
