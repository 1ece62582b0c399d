import type { Random } from "@clementinemux/common/Random";
import { RequestClass } from "@clementinemux/common/RequestClass";
import type { RequestState } from "../RequestState";
import type { TargetTable } from "../TargetTable";
import type { TargetState } from "../TargetState";
import type { ServiceTimes } from "../admission/ServiceTimes";
import type { Candidate } from "./Candidate";
import type { PrefixIndex } from "./PrefixIndex";
import type { RoutingKind } from "./RoutingKind";
import type { RoutingStrategy } from "./RoutingStrategy";
import { createRoutingStrategy } from "./createRoutingStrategy";
import { canServe } from "./canServe";
import { scoreTarget } from "./scoreTarget";

interface RouterOptions {
  readonly routing: RoutingKind;
  readonly random: Random;
  readonly failureDomain: string;
  readonly region: string;
  readonly targets: TargetTable;
  readonly times: ServiceTimes;
  readonly prefixes: PrefixIndex;
}

/**
 * Share of a target's batch that a class may fill, by estimated load. The rest is reserved for higher
 * classes.
 */
const batchShares: Readonly<Record<RequestClass, number>> = {
  [RequestClass.Important]: 1.25,
  [RequestClass.Standard]: 1,
  [RequestClass.Bulk]: 0.9,
};

/** Finds the targets that can accept a request, scores them and chooses one. */
export class Router {
  readonly #options: RouterOptions;
  readonly #strategy: RoutingStrategy;

  constructor(options: RouterOptions) {
    this.#options = options;
    this.#strategy = createRoutingStrategy(options.routing, options.random);
  }

  /** Targets that serve the request and accept work, whether or not they have capacity now. */
  findServingTargets(state: RequestState): readonly TargetState[] {
    const serving = [...this.#options.targets.all].filter(
      ({ view }) => view.accepting && canServe(state.request, view),
    );
    // A target with other model weights would continue a partial response differently.
    return state.sentByVersion === null
      ? serving
      : serving.filter(({ view }) => view.announcement.version === state.sentByVersion);
  }

  hasCapacity(state: RequestState, nowMs: number): boolean {
    return this.findServingTargets(state).some((target) => this.#hasCapacity(target, state, nowMs));
  }

  /** Candidates with capacity, best score first. */
  findCandidates(state: RequestState, nowMs: number): readonly Candidate[] {
    const untried = findUntried(this.findServingTargets(state), state);
    const available = untried.filter((target) => this.#hasCapacity(target, state, nowMs));
    return preferUntriedDomains(available, state)
      .map((target) => this.score(target, state, nowMs))
      .sort((left, right) => left.scoreMs - right.scoreMs);
  }

  choose(candidates: readonly Candidate[]): Candidate | null {
    return this.#strategy.choose(candidates);
  }

  score(target: TargetState, state: RequestState, nowMs: number): Candidate {
    const { failureDomain, region, times, prefixes, targets } = this.#options;
    return scoreTarget(target, {
      request: state.request,
      model: state.model,
      failureDomain,
      region,
      times,
      prefixes,
      herdFactor: targets.herdFactor,
      groupErrorRate: targets.getGroupErrorRate(target),
      nowMs,
    });
  }

  #hasCapacity(target: TargetState, { requestClass }: RequestState, nowMs: number): boolean {
    if (!target.health.maySend(nowMs) || target.inFlightCount >= Math.floor(target.concurrencyLimit.limit)) {
      return false;
    }
    return (
      !this.#strategy.usesLoadReports ||
      target.getLoadCount(this.#options.targets.herdFactor) <
        target.batchLimitCount * batchShares[requestClass]
    );
  }
}

/** Excludes targets that were already tried, unless no others serve the request. */
function findUntried(targets: readonly TargetState[], state: RequestState): readonly TargetState[] {
  const untried = targets.filter(({ name }) => !state.triedTargets.has(name));
  return untried.length === 0 ? targets : untried;
}

/** Excludes failure domains that were already tried, unless no others have capacity. */
function preferUntriedDomains(targets: readonly TargetState[], state: RequestState): readonly TargetState[] {
  const others = targets.filter(({ view }) => !state.triedDomains.has(view.announcement.failureDomain));
  return others.length === 0 ? targets : others;
}
