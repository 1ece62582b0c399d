import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { ActivateRequest } from "@clementinemux/ranker/ActivateRequest";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import type { RankClient } from "@clementinemux/ranker/RankClient";
import type { RankInspection } from "@clementinemux/ranker/RankInspection";
import { RankLink } from "@clementinemux/ranker/RankLink";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { ExpertParameters } from "@clementinemux/routes/ExpertParameters";
import type { RouteTable } from "@clementinemux/routes/RouteTable";
import { formatAddress } from "@clementinemux/wire/formatAddress";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { CoordinatorHandler } from "../routes/CoordinatorHandler";
import type { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import { GroupController } from "./GroupController";
import type { GroupPassState } from "./GroupPassState";
import { SilentRankDetector } from "./SilentRankDetector";
import { computeGroupSlowdowns } from "./computeGroupSlowdowns";

interface RankGroupManagerOptions {
  readonly framePort: number;
  readonly links: PeerLinks;
  readonly getTable: () => RouteTable | null;
  readonly listTargets: () => readonly TargetRecord[];
  /** Term of this leader; null while it does not lead. */
  readonly getTerm: () => number | null;
  /** Opens a direct connection to the rank at an address. */
  readonly openRank: (address: string) => RankClient;
  /** Delegates the orders of an activation to another coordinator. Resolves with whether it has sent them. */
  readonly activate: (request: ActivateRequest) => Promise<boolean>;
  readonly recordSlowdown: (target: string, slowdown: number) => void;
  readonly metrics: CoordinatorMetrics;
  readonly errors: ErrorBoundary<CoordinatorHandler>;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface InspectedTarget {
  readonly id: string;
  readonly link: RankLink;
  readonly inspection: RankInspection;
}

interface SteppedGroup {
  readonly members: readonly InspectedTarget[];
  readonly controller: GroupController | null;
}

const unknownPassState: GroupPassState = { passMs: null, highestSlowdown: 1, isStalled: false };
/** Time between two inspections of idle groups, or for a leader without groups. */
const idleIntervalMs = 120;
/** Time between two direct queries for the group of a rank; the platform charges for each. */
const membershipQueryIntervalMs = 1000;
/** Interval at which a follower checks whether it leads: a failed leader may have left a group paused. */
const followerIntervalMs = 20;

/** Manages the rank groups of the fleet while this process leads the log. */
export class RankGroupManager {
  readonly #options: RankGroupManagerOptions;
  readonly #links = new Map<string, RankLink>();
  readonly #controllers = new Map<string, GroupController>();
  /** Last known link to each rank, indexed by rank, so that a silent rank can still be addressed. */
  readonly #linksByGroup = new Map<string, (RankLink | null)[]>();
  /** When ranks whose group is unknown were last queried for it. */
  readonly #queriedAtMs = new Map<RankLink, number>();
  readonly #silentRanks: SilentRankDetector;
  #term = 0;
  #fences = FencingTokens.ofTerm(0);

  constructor(options: RankGroupManagerOptions) {
    this.#options = options;
    this.#silentRanks = new SilentRankDetector(options);
  }

  /**
   * Inspects all ranks and performs the next step of each group. Resolves with the ms until the next step.
   */
  async step(): Promise<number> {
    const term = this.#options.getTerm();
    const table = this.#options.getTable();
    if (term === null || table === null) {
      return followerIntervalMs;
    }
    if (term !== this.#term) {
      this.#term = term;
      this.#fences = FencingTokens.ofTerm(term);
      this.#controllers.clear();
    }
    const groups = await this.#stepAll(table, term);
    return Math.min(idleIntervalMs, ...groups.map(({ nextStepMs }) => nextStepMs));
  }

  /**
   * Resolves with the groups that still exist, so that a vanished one does not set the inspection interval.
   */
  async #stepAll(table: RouteTable, term: number): Promise<GroupController[]> {
    const ranks = this.#options
      .listTargets()
      .filter(({ service }) => findExpertParameters(table, service) !== null);
    const inspected = await Promise.all(ranks.map((target) => this.#inspect(target, term)));
    const groups = new Map<string, { readonly service: string; readonly members: InspectedTarget[] }>();
    for (const [index, item] of inspected.entries()) {
      if (item !== null) {
        const { group } = item.inspection;
        const service = ranks[index]?.service ?? "";
        const entry = groups.get(group) ?? { service, members: [] };
        entry.members.push(item);
        groups.set(group, entry);
      }
    }
    const stepped = await Promise.all(
      [...groups].map(async ([group, { service, members }]) => ({
        service,
        members,
        controller: await this.#stepGroup(group, service, members, table),
      })),
    );
    for (const service of new Set(stepped.map((group) => group.service))) {
      this.#recordSlowdowns(stepped.filter((group) => group.service === service));
    }
    return stepped.map(({ controller }) => controller).filter((controller) => controller !== null);
  }

  /** Uses the higher of the rank's own slowdown and its group's, since a slow rank delays its whole group. */
  #recordSlowdowns(groups: readonly SteppedGroup[]): void {
    const slowdowns = computeGroupSlowdowns(
      groups.map(({ controller }) => controller?.passState ?? unknownPassState),
    );
    for (const [index, { members }] of groups.entries()) {
      for (const { id, inspection } of members) {
        this.#options.recordSlowdown(id, Math.max(inspection.pace, slowdowns[index] ?? 1));
      }
    }
  }

  async #stepGroup(
    group: string,
    service: string,
    members: readonly InspectedTarget[],
    table: RouteTable,
  ): Promise<GroupController | null> {
    const experts = findExpertParameters(table, service);
    const size = members[0]?.inspection.size ?? 0;
    if (experts === null || size === 0) {
      return null;
    }
    const knownLinks = this.#linksByGroup.get(group) ?? [];
    const links = Array.from({ length: size }, (_, rank) => knownLinks[rank] ?? null);
    const inspections = Array.from({ length: size }, (): RankInspection | null => null);
    for (const { link, inspection } of members) {
      links[inspection.state.rank] = link;
      inspections[inspection.state.rank] = inspection;
    }
    this.#linksByGroup.set(group, links);
    const controller = this.#getController(group, service, experts);
    // An exception concerns this group only; the others are stepped on.
    const step = (): Promise<void> => controller.step(links, inspections);
    return (await this.#options.errors.runAsync(CoordinatorHandler.Ranks, step)) ? controller : null;
  }

  #getController(group: string, service: string, experts: ExpertParameters): GroupController {
    const known = this.#controllers.get(group);
    if (known !== undefined) {
      return known;
    }
    const { activate, clock, metrics, logger } = this.#options;
    const getGapObjectiveMs = (): number => this.#options.getTable()?.getGapObjectiveMs(service) ?? 0;
    const options = {
      group,
      parameters: experts,
      term: this.#term,
      fences: this.#fences,
      getGapObjectiveMs,
      activate,
      clock,
      metrics,
      logger,
    };
    const controller = new GroupController(options);
    this.#controllers.set(group, controller);
    return controller;
  }

  async #inspect(target: TargetRecord, term: number): Promise<InspectedTarget | null> {
    const { errors } = this.#options;
    let inspected: InspectedTarget | null = null;
    // An exception concerns this target only; the others are inspected on.
    await errors.runAsync(CoordinatorHandler.Ranks, async () => {
      const link = this.#getLink(target.address);
      const inspection = await link.inspect(term, InspectionPart.Counts);
      if (inspection === null) {
        void errors.runAsync(CoordinatorHandler.Ranks, () =>
          this.#silentRanks.recordMissedResponse(target.id, link),
        );
        void errors.runAsync(CoordinatorHandler.Ranks, () => this.#findGroup(link));
      } else {
        this.#silentRanks.recordResponse(target.id);
        inspected = { id: target.id, link, inspection };
      }
    });
    return inspected;
  }

  /** Queries a rank directly for its group, which a new leader cannot learn from a silent ranker. */
  async #findGroup(link: RankLink): Promise<void> {
    const nowMs = this.#options.clock.monotonicMs();
    const isPlaced = [...this.#linksByGroup.values()].some((links) => links.includes(link));
    if (isPlaced || nowMs - (this.#queriedAtMs.get(link) ?? -Infinity) < membershipQueryIntervalMs) {
      return;
    }
    this.#queriedAtMs.set(link, nowMs);
    const membership = await link.readMembershipDirectly();
    if (membership !== null) {
      const links = this.#linksByGroup.get(membership.group) ?? [];
      links[membership.rank] = link;
      this.#linksByGroup.set(membership.group, links);
    }
  }

  #getLink(address: string): RankLink {
    const known = this.#links.get(address);
    if (known !== undefined) {
      return known;
    }
    const { links, framePort, openRank, metrics, clock, logger } = this.#options;
    const endpoints = {
      address,
      rankerAddress: formatAddress({ host: parseAddress(address).host, port: framePort }),
    };
    const { orders, refusedOrders } = metrics;
    const direct = openRank(address);
    const link = new RankLink({ links, endpoints, direct, orders, refusedOrders, clock, logger });
    this.#links.set(address, link);
    return link;
  }
}

function findExpertParameters(table: RouteTable, service: string): ExpertParameters | null {
  return table.findService(service)?.engine?.experts ?? null;
}
